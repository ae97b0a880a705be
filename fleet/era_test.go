package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPositionOrder draws eras and offsets.
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

// restoredInventory returns an inventory that held workers up to a high offset and was then given
// the list of a store that was restored from a copy.
func restoredInventory(t *testing.T, copied ...Change) *Inventory {
	t.Helper()
	i := NewInventory(time.Second, 5*time.Second)
	draining, lost := headWorker("draining", "g", 1, Open), headWorker("lost", "l", 2, Open)
	draining.Draining, draining.Beat = true, 9
	i.Replace([]Change{{ID: "draining", Worker: draining}, {ID: "lost", Worker: lost}}, 100, time.Now())
	time.Sleep(time.Second)
	i.Replace(copied, PositionOf(1, 40), time.Now())
	return i
}

// confirmFor advances the time while the list is confirmed and does not change.
func confirmFor(i *Inventory, span time.Duration) {
	const every = 500 * time.Millisecond
	for range span / every {
		time.Sleep(every)
		i.Confirm(i.Position(), time.Now())
	}
}

// TestListOfRestoredStoreIsMerged checks the list of a restored store in which a worker is not
// marked as leaving yet and another worker is missing. The first must stay unused, the second must
// stay in use until it has had time to write again, and changes of the new era must apply.
func TestListOfRestoredStoreIsMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := headWorker("draining", "g", 1, Open)
		before.Beat = 5
		i := restoredInventory(t, Change{ID: "draining", Worker: before})
		assert.Equal(t, i.Position(), PositionOf(1, 40), "the lower offset of the new era applies")
		w, _ := i.View().Worker("draining")
		assert.Assert(t, w.Draining)
		_, held := i.View().Worker("lost")
		assert.Assert(t, held)
		i.Follow(Delta{From: 100, To: 102, Changes: []Change{{ID: "draining"}}}, time.Now())
		assert.Equal(t, i.Position(), PositionOf(1, 40), "changes of the previous era are ignored")
		confirmFor(i, 4*time.Second)
		i.Take(Delta{From: PositionOf(1, 40), To: PositionOf(1, 41), Changes: []Change{{ID: "draining"}}}, time.Now())
		_, held = i.View().Worker("lost")
		assert.Assert(t, !held, "it did not write again")
		_, held = i.View().Worker("draining")
		assert.Assert(t, !held)
	})
}

// TestChangesApplyAfterRestore checks that changes apply after the store was restored to a lower
// offset.
func TestChangesApplyAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := headWorker("w", "g", 1, Open)
		i := restoredInventory(t, Change{ID: "w", Worker: w})
		confirmFor(i, lapseWindow+time.Second)
		i.Take(Delta{From: PositionOf(1, 40), To: PositionOf(1, 41), Changes: []Change{{ID: "w"}}}, time.Now())
		_, held := i.View().Worker("w")
		assert.Assert(t, !held)
	})
}

// TestPeerOfPreviousEra checks that a peer of the previous era is not considered newer, whatever
// its offset.
func TestPeerOfPreviousEra(t *testing.T) {
	source, member := NewInventory(time.Second, 0), NewInventory(time.Second, 0)
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

// TestClosedHallsStayClosedAfterRestore restores a copy that was made before an operator closed a
// hall.
func TestClosedHallsStayClosedAfterRestore(t *testing.T) {
	h := NewHalls(0)
	h.Take(HallNews{Whole: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 50, time.Now())
	h.Take(HallNews{Whole: true}, PositionOf(1, 40), time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallClosed)
	h.Take(HallNews{Whole: true}, PositionOf(1, 41), time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallOpen, "the operator's command was not repeated")
}

// TestRestoredStoreConfirmsNoConfiguration checks that a restored store does not confirm the
// version in force until its writer had time to write again: a newer one that revoked a key may
// have been lost.
func TestRestoredStoreConfirmsNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBeliefs()
		c := NewConfig(Parts{Version: 3})
		b.Offer(c, time.Now())
		before := b.Confirmed()
		time.Sleep(time.Second)
		b.HoldCopy(time.Now())
		b.Offer(c, time.Now())
		b.Confirm(3, time.Now())
		assert.Equal(t, b.Confirmed(), before)
		time.Sleep(restoreHoldDuration)
		b.Confirm(3, time.Now())
		assert.Assert(t, b.Confirmed().After(before))
		fresh := NewBeliefs()
		fresh.HoldCopy(time.Now())
		fresh.Offer(c, time.Now())
		assert.Assert(t, !fresh.Confirmed().IsZero(), "a daemon that has just started has nothing to hold")
	})
}

// TestFollowerHoldsConfirmationsAfterRestore restores the source from a copy while it is being
// followed.
func TestFollowerHoldsConfirmationsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3}
		beliefs := NewBeliefs()
		stop := startFollower(source, beliefs, NewInventory(1200*time.Millisecond, 0))
		time.Sleep(time.Second)
		source.set(func() { source.era, source.lost = 1, true })
		time.Sleep(restoreHoldDuration - time.Second/2)
		held := time.Since(beliefs.Confirmed())
		time.Sleep(time.Second)
		again := time.Since(beliefs.Confirmed())
		stop()
		assert.Assert(t, held > time.Second, "confirmed %s before", held)
		assert.Assert(t, again < time.Second, "confirmed %s before", again)
	})
}

// TestFirstReadOfRestoredStore checks a daemon that knows the previous era from peers only, and
// whose first read returns a restored copy.
func TestFirstReadOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3, era: 2}
		beliefs, inventory := NewBeliefs(), NewInventory(1200*time.Millisecond, 0)
		beliefs.Offer(NewConfig(Parts{Version: 3}), time.Now())
		inventory.Replace(nil, PositionOf(1, 50), time.Now())
		before := beliefs.Confirmed()
		time.Sleep(time.Second)
		stop := startFollower(source, beliefs, inventory)
		time.Sleep(restoreHoldDuration - time.Second/2)
		held := beliefs.Confirmed()
		stop()
		assert.Equal(t, held, before)
	})
}

// TestFirstReadAfterOutageMayBeOfRestoredStore checks that a daemon that starts during an outage,
// without peers, does not confirm its first read: a revoked key may be valid again until the
// operator's change has been repeated.
func TestFirstReadAfterOutageMayBeOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3, era: 2, down: true}
		beliefs, inventory := NewBeliefs(), NewInventory(1200*time.Millisecond, 0)
		stop := startFollower(source, beliefs, inventory)
		time.Sleep(1500 * time.Millisecond)
		source.set(func() { source.down = false })
		time.Sleep(restoreHoldDuration - time.Second/2)
		held := beliefs.Confirmed()
		stop()
		assert.Assert(t, held.IsZero(), "confirmed before the operator's change could be repeated")
	})
}

// TestPeerConfirmsAfterRestore checks that a daemon that starts after a restore does not wait if a
// peer confirms its configuration, nor if the source was never restored.
func TestPeerConfirmsAfterRestore(t *testing.T) {
	tests := map[string]struct {
		era     int64
		peer    bool
		refused bool
	}{
		"alone":                     {era: 2, refused: true},
		"a peer ran before":         {era: 2, peer: true},
		"the source never was lost": {era: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &fakeSource{version: 3, era: test.era}
				beliefs := NewBeliefs()
				stop := startFollower(source, beliefs, NewInventory(1200*time.Millisecond, 0))
				time.Sleep(restoreHoldDuration / 4)
				if test.peer {
					beliefs.Confirm(3, time.Now())
				}
				confirmed := beliefs.Confirmed()
				time.Sleep(restoreHoldDuration)
				late := beliefs.Confirmed()
				stop()
				assert.Equal(t, confirmed.IsZero(), test.refused)
				assert.Assert(t, !late.IsZero(), "the hold ends")
			})
		})
	}
}
