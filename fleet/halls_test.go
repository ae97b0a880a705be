package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const emptyWithin = 5 * time.Second

func closing(hall string) HallNews {
	return HallNews{Changes: []HallChange{{Hall: hall, Closed: true}}}
}

func opening(hall string) HallNews {
	return HallNews{Changes: []HallChange{{Hall: hall}}}
}

func TestHallClosesWithinTheBound(t *testing.T) {
	tests := map[string]struct {
		// unread is for how long nothing had been read when the news came.
		unread time.Duration
		// closes is how long after the news the hall takes nothing more.
		closes time.Duration
	}{
		"read often":                    {unread: 300 * time.Millisecond, closes: 2500 * time.Millisecond},
		"not read for three seconds":    {unread: 3 * time.Second, closes: 1400 * time.Millisecond},
		"not read for as long as it is": {unread: 10 * time.Second, closes: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHalls(emptyWithin)
				h.Take(HallNews{Whole: true}, 1, time.Now())
				time.Sleep(test.unread)
				h.Take(closing("a"), 2, time.Now())
				assert.Equal(t, h.View().State("b", time.Now()), HallOpen)
				if test.closes > 0 {
					time.Sleep(test.closes - time.Millisecond)
					assert.Equal(t, h.View().State("a", time.Now()), HallClosing)
					time.Sleep(time.Millisecond)
				}
				assert.Equal(t, h.View().State("a", time.Now()), HallClosed)
			})
		})
	}
}

func TestClosedHallIsClosedAtOnceAfterAStart(t *testing.T) {
	h := NewHalls(emptyWithin)
	h.Take(HallNews{Whole: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 7, time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallClosed)
}

func TestHallsOpenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHalls(emptyWithin)
		h.Take(HallNews{Whole: true, Changes: []HallChange{{Hall: "a", Closed: true}, {Hall: "b", Closed: true}}}, 2, time.Now())
		time.Sleep(time.Second)
		h.Take(opening("a"), 3, time.Now())
		assert.Equal(t, h.View().State("a", time.Now()), HallOpen)
		assert.Equal(t, h.View().OpenedAt("a"), time.Now())
		assert.Assert(t, h.View().OpenedAt("b").IsZero())
		time.Sleep(time.Second)
		h.Take(HallNews{Whole: true}, 9, time.Now())
		assert.Equal(t, h.View().State("b", time.Now()), HallOpen, "a whole list without it opens a hall")
		assert.Assert(t, h.View().AllOpen())
	})
}

func TestUnclearEntryLeavesAHallAsItWas(t *testing.T) {
	h := NewHalls(emptyWithin)
	h.Take(HallNews{Whole: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 2, time.Now())
	h.Take(HallNews{Whole: true, Unclear: []string{"a", "b"}}, 3, time.Now())
	assert.DeepEqual(t, h.View().Closed(), []string{"a"})
}

func TestOlderNewsOfHallsIsIgnored(t *testing.T) {
	h := NewHalls(emptyWithin)
	h.Take(closing("a"), 5, time.Now())
	h.Take(opening("a"), 4, time.Now())
	h.Follow(HallReport{Position: 4}, time.Now())
	assert.DeepEqual(t, h.View().Closed(), []string{"a"})
	h.Follow(HallReport{}, time.Now())
	assert.DeepEqual(t, h.View().Closed(), []string{"a"})
}

// TestPeersCloseAHallTogether: who hears of it from a peer closes it when the peer does,
// give or take the way; nonsense in a report never keeps it open for longer than the bound.
func TestPeersCloseAHallTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, third := NewHalls(emptyWithin), NewHalls(emptyWithin), NewHalls(emptyWithin)
		first.Take(HallNews{Whole: true}, 1, time.Now())
		first.Take(closing("a"), 2, time.Now())
		time.Sleep(time.Second)
		second.Follow(first.Report(time.Now()), time.Now())
		third.Follow(HallReport{Position: 2, Closed: []ClosedHall{{Hall: "a", Left: 1 << 40}}}, time.Now())
		assert.Equal(t, second.View().State("a", time.Now()), HallClosing)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, first.View().State("a", time.Now()), HallClosed)
		assert.Equal(t, second.View().State("a", time.Now()), HallClosed)
		time.Sleep(emptyWithin)
		assert.Equal(t, third.View().State("a", time.Now()), HallClosed)
	})
}

// TestHallsAgree: whatever daemons read or hear, in any order and with gaps, none keeps a
// hall open longer than the bound after the operator's word as long as it reads or hears
// within that time, and all agree in the end.
func TestHallsAgree(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		synctest.Test(outer, func(*testing.T) {
			operator := map[string]bool{}
			closedAt := map[string]time.Time{}
			var log []HallChange
			daemons := []*Halls{NewHalls(emptyWithin), NewHalls(emptyWithin), NewHalls(emptyWithin)}
			at := make([]int, len(daemons))
			fresh := make([]time.Time, len(daemons))
			for i, h := range daemons {
				h.Take(HallNews{Whole: true}, 1, time.Now())
				fresh[i] = time.Now()
			}
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				switch who := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon"); rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					hall := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall")
					operator[hall] = !operator[hall]
					closedAt[hall] = time.Now()
					log = append(log, HallChange{Hall: hall, Closed: operator[hall]})
				case 1:
					daemons[who].Take(HallNews{Changes: slices.Clone(log[at[who]:])}, int64(len(log)+1), time.Now())
					at[who], fresh[who] = len(log), time.Now()
				case 2:
					from := rapid.IntRange(0, len(daemons)-1).Draw(t, "from")
					daemons[who].Follow(daemons[from].Report(time.Now()), time.Now())
					if at[from] >= at[who] {
						at[who] = at[from]
						if fresh[from].After(fresh[who]) {
							fresh[who] = fresh[from]
						}
					}
				}
				for i, h := range daemons {
					for hall, closed := range operator {
						told := fresh[i].After(closedAt[hall])
						if closed && told && time.Since(closedAt[hall]) > emptyWithin {
							assert.Equal(t, h.View().State(hall, time.Now()), HallClosed, fmt.Sprint(i, hall))
						}
					}
				}
			}
			for i, h := range daemons {
				h.Take(HallNews{Changes: slices.Clone(log[at[i]:])}, int64(len(log)+1), time.Now())
			}
			time.Sleep(emptyWithin)
			for hall, closed := range operator {
				for _, h := range daemons {
					assert.Equal(t, h.View().State(hall, time.Now()) == HallClosed, closed)
				}
			}
		})
	})
}

func TestColdWorkersWarmUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := NewInventory(1200*time.Millisecond, 0)
		i.Apply([]Change{{ID: "h", Worker: &Worker{ID: "h", Service: "s", ColdLeft: 3000}}}, 1, time.Now())
		w, ok := i.View().Worker("h")
		assert.Assert(t, ok)
		assert.Equal(t, w.ColdUntil, time.Now().Add(3*time.Second))
		i.Apply([]Change{{ID: "h", Worker: &Worker{ID: "h", Service: "s"}}}, 2, time.Now())
		w, _ = i.View().Worker("h")
		assert.Assert(t, w.ColdUntil.IsZero())
	})
}
