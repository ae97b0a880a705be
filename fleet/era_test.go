package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPositionsAreComparedAsAPair draws eras and offsets.
func TestPositionsAreComparedAsAPair(t *testing.T) {
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

// drilled returns an inventory that held workers up to a high offset, and then took what a
// store tells that came back from a copy.
func drilled(t *testing.T, copied ...Change) *Inventory {
	t.Helper()
	i := NewInventory(time.Second, 5*time.Second)
	draining, lost := head("draining", "g", 1, Open), head("lost", "l", 2, Open)
	draining.Draining, draining.Beat = true, 9
	i.Replace([]Change{{ID: "draining", Worker: draining}, {ID: "lost", Worker: lost}}, 100, time.Now())
	time.Sleep(time.Second)
	i.Replace(copied, PositionOf(1, 40), time.Now())
	return i
}

// confirmedFor lets time pass in which the list is read and does not change.
func confirmedFor(i *Inventory, span time.Duration) {
	const every = 500 * time.Millisecond
	for range span / every {
		time.Sleep(every)
		i.Confirm(i.Position(), time.Now())
	}
}

// TestListOfACopyIsJoined: the copy shows a worker as it was before it said that it leaves,
// and lacks one that came after it. The first stays out of use, the second in use until it
// has had time to write again; what comes in the new era counts.
func TestListOfACopyIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := head("draining", "g", 1, Open)
		before.Beat = 5
		i := drilled(t, Change{ID: "draining", Worker: before})
		assert.Equal(t, i.Position(), PositionOf(1, 40), "the lower offset of the new era is followed")
		w, _ := i.View().Worker("draining")
		assert.Assert(t, w.Draining)
		_, held := i.View().Worker("lost")
		assert.Assert(t, held)
		i.Follow(Delta{From: 100, To: 102, Changes: []Change{{ID: "draining"}}}, time.Now())
		assert.Equal(t, i.Position(), PositionOf(1, 40), "news of the era before are not joined on")
		confirmedFor(i, 4*time.Second)
		i.Take(Delta{From: PositionOf(1, 40), To: PositionOf(1, 41), Changes: []Change{{ID: "draining"}}}, time.Now())
		_, held = i.View().Worker("lost")
		assert.Assert(t, !held, "it did not write again")
		_, held = i.View().Worker("draining")
		assert.Assert(t, !held)
	})
}

// TestChangesAfterACopyAreSeen: a worker leaves after the store came back at a lower offset.
// Before eras were known nothing was taken until offsets had passed the old mark.
func TestChangesAfterACopyAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := head("w", "g", 1, Open)
		i := drilled(t, Change{ID: "w", Worker: w})
		confirmedFor(i, lapseWindow+time.Second)
		i.Take(Delta{From: PositionOf(1, 40), To: PositionOf(1, 41), Changes: []Change{{ID: "w"}}}, time.Now())
		_, held := i.View().Worker("w")
		assert.Assert(t, !held)
	})
}

// TestPeerOfTheEraBefore: it neither takes this daemon back nor is taken for newer, whatever
// its offset.
func TestPeerOfTheEraBefore(t *testing.T) {
	source, member := NewInventory(time.Second, 0), NewInventory(time.Second, 0)
	list := []Change{{ID: "w", Worker: head("w", "g", 1, Open)}}
	source.Replace(list, PositionOf(1, 3), time.Now())
	member.Replace(list, 900, time.Now())
	d, whole := source.Since(member.Position())
	assert.Assert(t, whole, "positions of two eras are not joined")
	member.Replace(d.Changes, d.To, time.Now())
	assert.Equal(t, member.Position(), PositionOf(1, 3))
	member.Replace(nil, 950, time.Now())
	assert.Equal(t, member.Position(), PositionOf(1, 3))
}

// TestClosedHallsStayClosedOverACopy: the copy is from before the operator closed a hall.
func TestClosedHallsStayClosedOverACopy(t *testing.T) {
	h := NewHalls(0)
	h.Take(HallNews{Whole: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 50, time.Now())
	h.Take(HallNews{Whole: true}, PositionOf(1, 40), time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallClosed)
	h.Take(HallNews{Whole: true}, PositionOf(1, 41), time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallOpen, "the operator's word did not come again")
}

// TestCopyConfirmsNoConfiguration: a newer configuration, which took a key away, was written
// and lost with the store's last seconds before this daemon read it. That the copy shows the
// version in force does not say that it is the newest, until its writer had time to write
// again.
func TestCopyConfirmsNoConfiguration(t *testing.T) {
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
		time.Sleep(copyHold)
		b.Confirm(3, time.Now())
		assert.Assert(t, b.Confirmed().After(before))
		fresh := NewBeliefs()
		fresh.HoldCopy(time.Now())
		fresh.Offer(c, time.Now())
		assert.Assert(t, !fresh.Confirmed().IsZero(), "a daemon that has just started has nothing to hold")
	})
}

// TestFollowerHoldsWhatACopyShows lets a source come back from a copy while it is followed.
func TestFollowerHoldsWhatACopyShows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3}
		beliefs := NewBeliefs()
		stop := follow(source, beliefs, NewInventory(1200*time.Millisecond, 0))
		time.Sleep(time.Second)
		source.set(func() { source.era, source.lost = 1, true })
		time.Sleep(copyHold - time.Second/2)
		held := time.Since(beliefs.Confirmed())
		time.Sleep(time.Second)
		again := time.Since(beliefs.Confirmed())
		stop()
		assert.Assert(t, held > time.Second, "confirmed %s before", held)
		assert.Assert(t, again < time.Second, "confirmed %s before", again)
	})
}

// TestFirstReadMayBeOfACopy: a daemon that started a moment ago knows by peers alone what was
// in force in the era before. Its first read of either source is of a copy.
func TestFirstReadMayBeOfACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3, era: 2}
		beliefs, inventory := NewBeliefs(), NewInventory(1200*time.Millisecond, 0)
		beliefs.Offer(NewConfig(Parts{Version: 3}), time.Now())
		inventory.Replace(nil, PositionOf(1, 50), time.Now())
		before := beliefs.Confirmed()
		time.Sleep(time.Second)
		stop := follow(source, beliefs, inventory)
		time.Sleep(copyHold - time.Second/2)
		held := beliefs.Confirmed()
		stop()
		assert.Equal(t, held, before)
	})
}

// TestFirstReadAfterAnOutageMayBeOfACopy: a daemon starts while the source is away, with nobody
// to ask. What the source shows first may be of a copy: a key that was taken away just before
// may be in force there until the operator has written again, so that it confirms nothing yet.
func TestFirstReadAfterAnOutageMayBeOfACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3, era: 2, down: true}
		beliefs, inventory := NewBeliefs(), NewInventory(1200*time.Millisecond, 0)
		stop := follow(source, beliefs, inventory)
		time.Sleep(1500 * time.Millisecond)
		source.set(func() { source.down = false })
		time.Sleep(copyHold - time.Second/2)
		held := beliefs.Confirmed()
		stop()
		assert.Assert(t, held.IsZero(), "confirmed before the operator can have written again")
	})
}

// TestWhoRanBeforeIsBelieved: a daemon that starts after the source came back from a copy some
// time does not wait where a peer confirms what it read; nor does one whose source never did.
func TestWhoRanBeforeIsBelieved(t *testing.T) {
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
				stop := follow(source, beliefs, NewInventory(1200*time.Millisecond, 0))
				time.Sleep(copyHold / 4)
				if test.peer {
					beliefs.Confirm(3, time.Now())
				}
				confirmed := beliefs.Confirmed()
				time.Sleep(copyHold)
				late := beliefs.Confirmed()
				stop()
				assert.Equal(t, confirmed.IsZero(), test.refused)
				assert.Assert(t, !late.IsZero(), "the hold ends")
			})
		})
	}
}
