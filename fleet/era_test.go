package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPositionOrder checks that a position keeps its era and offset, and that positions of a later
// era are higher.
func TestPositionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, offset := rapid.Int64Range(0, MaxEra).Draw(t, "era"), rapid.Int64Range(0, offsetMask).Draw(t, "offset")
		p := PositionOf(era, offset)
		if EraOf(p) != era || OffsetOf(p) != offset || p < 0 {
			t.Fatalf("%d and %d became %d", era, offset, p)
		}
		later := PositionOf(min(era+1, MaxEra), rapid.Int64Range(0, offsetMask).Draw(t, "later"))
		if era < MaxEra && later <= p {
			t.Fatalf("a position of the next era is not beyond %d", p)
		}
	})
	assert.Equal(t, PositionOf(0, 7), int64(7), "without eras positions are offsets")
	assert.Equal(t, EraOf(-1), int64(0))
}

// newRestoredInventory returns an inventory to which the list of a restored store was applied. The
// previous list had two workers and a higher offset.
func newRestoredInventory(t *testing.T, copied ...Change) *Inventory {
	t.Helper()
	i := NewInventory(InventoryOptions{Heartbeat: time.Second, LeaveBound: 5 * time.Second})
	draining, lost := headWorker("draining", "g", 1, Open), headWorker("lost", "l", 2, Open)
	draining.Draining, draining.HeartbeatCount = true, 9
	i.Replace([]Change{{ID: "draining", Worker: draining}, {ID: "lost", Worker: lost}}, 100, time.Now())
	time.Sleep(time.Second)
	i.Replace(copied, PositionOf(1, 40), time.Now())
	return i
}

// confirmFor confirms the unchanged list at a regular interval for the given time.
func confirmFor(i *Inventory, span time.Duration) {
	const interval = 500 * time.Millisecond
	for range span / interval {
		time.Sleep(interval)
		i.Confirm(i.Position(), time.Now())
	}
}

// TestListOfRestoredStoreIsMerged applies a restored list in which one worker is no longer marked
// as leaving and another one is missing. The first worker must stay marked. The second one must
// stay listed until it has had time to write again.
func TestListOfRestoredStoreIsMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		olderEntry := headWorker("draining", "g", 1, Open)
		olderEntry.HeartbeatCount = 5
		i := newRestoredInventory(t, Change{ID: "draining", Worker: olderEntry})
		assert.Equal(t, i.Position(), PositionOf(1, 40), "the lower offset of the new era applies")
		w, _ := i.View().Worker("draining")
		assert.Assert(t, w.Draining)
		_, isListed := i.View().Worker("lost")
		assert.Assert(t, isListed)
		i.Follow(Delta{From: 100, To: 102, Changes: []Change{{ID: "draining"}}}, time.Now())
		assert.Equal(t, i.Position(), PositionOf(1, 40), "changes of the previous era are ignored")
		confirmFor(i, 4*time.Second)
		i.ApplyRead(Delta{From: PositionOf(1, 40), To: PositionOf(1, 41), Changes: []Change{{ID: "draining"}}}, time.Now())
		_, isListed = i.View().Worker("lost")
		assert.Assert(t, !isListed, "it did not write again")
		_, isListed = i.View().Worker("draining")
		assert.Assert(t, !isListed)
	})
}

// TestChangesApplyAfterRestore checks that a change applies although its offset is lower than the
// highest one before the restore.
func TestChangesApplyAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := headWorker("w", "g", 1, Open)
		i := newRestoredInventory(t, Change{ID: "w", Worker: w})
		confirmFor(i, postOutageWindow+time.Second)
		i.ApplyRead(Delta{From: PositionOf(1, 40), To: PositionOf(1, 41), Changes: []Change{{ID: "w"}}}, time.Now())
		_, isListed := i.View().Worker("w")
		assert.Assert(t, !isListed)
	})
}

// TestPeerOfPreviousEra checks that a list of the previous era is older than one of the current era
// even if its offset is higher.
func TestPeerOfPreviousEra(t *testing.T) {
	source, member := NewInventory(InventoryOptions{Heartbeat: time.Second}), NewInventory(InventoryOptions{Heartbeat: time.Second})
	list := []Change{{ID: "w", Worker: headWorker("w", "g", 1, Open)}}
	source.Replace(list, PositionOf(1, 3), time.Now())
	member.Replace(list, 900, time.Now())
	d, whole := source.Since(member.Position())
	assert.Assert(t, whole, "a delta never spans two eras")
	member.Replace(d.Changes, d.To, time.Now())
	assert.Equal(t, member.Position(), PositionOf(1, 3))
	member.Replace(nil, 950, time.Now())
	assert.Equal(t, member.Position(), PositionOf(1, 3))
}

// TestClosedHallsStayClosedAfterRestore checks that a hall stays closed at first if the source was
// restored from a copy made before the operator closed it.
func TestClosedHallsStayClosedAfterRestore(t *testing.T) {
	h := NewHalls(0)
	h.ApplyRead(HallUpdate{IsComplete: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 50, time.Now())
	h.ApplyRead(HallUpdate{IsComplete: true}, PositionOf(1, 40), time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallClosed)
	h.ApplyRead(HallUpdate{IsComplete: true}, PositionOf(1, 41), time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallOpen, "the operator's command was not repeated")
}

// TestHallsOpenAfterRestoreAtOnePosition guards against halls that stay closed at a daemon for ever because
// the restored store gets no later command.
func TestHallsOpenAfterRestoreAtOnePosition(t *testing.T) {
	restored := PositionOf(1, 40)
	tests := map[string]struct {
		// reportedAfter is when a peer's report was sent, after the first read of the restored store.
		reportedAfter time.Duration
		report        HallReport
		want          HallState
	}{
		"a peer read it after it settled":     {reportedAfter: restoreSettleTime + time.Second, report: HallReport{Position: restored, AgeMillis: 100}, want: HallOpen},
		"a peer read it before":               {reportedAfter: restoreSettleTime - time.Second, report: HallReport{Position: restored, AgeMillis: 100}, want: HallClosed},
		"a peer's state was confirmed before": {reportedAfter: restoreSettleTime + time.Second, report: HallReport{Position: restored, AgeMillis: 2000}, want: HallClosed},
		"a peer keeps it closed too":          {reportedAfter: restoreSettleTime + time.Second, report: HallReport{Position: restored, AgeMillis: 100, Closed: []ClosedHall{{Hall: "a"}}}, want: HallClosed},
		"a peer is at the position before":    {reportedAfter: restoreSettleTime + time.Second, report: HallReport{Position: restored - 1, AgeMillis: 100}, want: HallClosed},
		"a peer knows of a later command":     {reportedAfter: time.Second, report: HallReport{Position: restored + 1, AgeMillis: 100}, want: HallOpen},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHalls(0)
				h.ApplyRead(HallUpdate{IsComplete: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 50, time.Now())
				h.ApplyRead(HallUpdate{IsComplete: true}, restored, time.Now())
				time.Sleep(test.reportedAfter)
				h.Follow(test.report, time.Now())
				assert.Equal(t, h.View().State("a", time.Now()), test.want)
			})
		})
	}
}

// TestRestoredStoreConfirmsNoConfiguration checks that after the store was restored from a copy,
// the configuration is not confirmed until restoreHoldDuration has passed. The restore may have
// lost a newer version that revoked a key, and its author needs time to publish it again.
func TestRestoredStoreConfirmsNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewConfigCache()
		c := NewConfig(Parts{Version: 3})
		b.Offer(c, time.Now())
		confirmedBefore := b.Confirmed()
		time.Sleep(time.Second)
		b.HoldAfterRestore(time.Now())
		b.Offer(c, time.Now())
		b.Confirm(3, time.Now())
		assert.Equal(t, b.Confirmed(), confirmedBefore)
		time.Sleep(restoreHoldDuration)
		b.Confirm(3, time.Now())
		assert.Assert(t, b.Confirmed().After(confirmedBefore))
		newBeliefs := NewConfigCache()
		newBeliefs.HoldAfterRestore(time.Now())
		newBeliefs.Offer(c, time.Now())
		assert.Assert(t, !newBeliefs.Confirmed().IsZero(), "a daemon that has just started has nothing to hold")
	})
}

// TestFollowerHoldsConfirmationsAfterRestore checks that a follower ignores confirmations for a
// while when its source is restored from a copy.
func TestFollowerHoldsConfirmationsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3}
		configCache := NewConfigCache()
		stop := startFollower(source, configCache, NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond}))
		time.Sleep(time.Second)
		source.set(func() { source.era, source.positionLost = 1, true })
		time.Sleep(restoreHoldDuration - time.Second/2)
		ageDuringHold := time.Since(configCache.Confirmed())
		time.Sleep(time.Second)
		ageAfterHold := time.Since(configCache.Confirmed())
		stop()
		assert.Assert(t, ageDuringHold > time.Second, "confirmed %s before", ageDuringHold)
		assert.Assert(t, ageAfterHold < time.Second, "confirmed %s before", ageAfterHold)
	})
}

// TestFirstReadOfRestoredStore checks that the first read of a daemon confirms nothing if it
// returns a later era than the peers reported.
func TestFirstReadOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3, era: 2}
		configCache, inventory := NewConfigCache(), NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
		configCache.Offer(NewConfig(Parts{Version: 3}), time.Now())
		inventory.Replace(nil, PositionOf(1, 50), time.Now())
		confirmedBefore := configCache.Confirmed()
		time.Sleep(time.Second)
		stop := startFollower(source, configCache, inventory)
		time.Sleep(restoreHoldDuration - time.Second/2)
		duringHold := configCache.Confirmed()
		stop()
		assert.Equal(t, duringHold, confirmedBefore)
	})
}

// TestFirstReadAfterOutageMayBeOfRestoredStore checks that the first read of a daemon confirms
// nothing if the daemon started without peers during an outage. The store may have been restored
// from a copy that lacks the revocation of a key.
func TestFirstReadAfterOutageMayBeOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3, era: 2, isDown: true}
		configCache, inventory := NewConfigCache(), NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
		stop := startFollower(source, configCache, inventory)
		time.Sleep(1500 * time.Millisecond)
		source.set(func() { source.isDown = false })
		time.Sleep(restoreHoldDuration - time.Second/2)
		duringHold := configCache.Confirmed()
		stop()
		assert.Assert(t, duringHold.IsZero(), "confirmed before the operator's change could be repeated")
	})
}

// TestPeerConfirmsAfterRestore checks when a daemon that just started has a confirmed
// configuration. It must not wait if a peer confirms the configuration, or if the source was never
// restored.
func TestPeerConfirmsAfterRestore(t *testing.T) {
	tests := map[string]struct {
		era           int64
		peerConfirms  bool
		isUnconfirmed bool
	}{
		"alone":                     {era: 2, isUnconfirmed: true},
		"a peer ran before":         {era: 2, peerConfirms: true},
		"the source never was lost": {era: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &fakeSource{version: 3, era: test.era}
				configCache := NewConfigCache()
				stop := startFollower(source, configCache, NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond}))
				time.Sleep(restoreHoldDuration / 4)
				if test.peerConfirms {
					configCache.Confirm(3, time.Now())
				}
				confirmed := configCache.Confirmed()
				time.Sleep(restoreHoldDuration)
				afterHold := configCache.Confirmed()
				stop()
				assert.Equal(t, confirmed.IsZero(), test.isUnconfirmed)
				assert.Assert(t, !afterHold.IsZero(), "the hold ends")
			})
		})
	}
}
