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

// hallPlay is an operator and daemons that read its words, or hear of them, now and then.
type hallPlay struct {
	closed   map[string]bool
	changed  map[string]time.Time
	words    []HallChange
	daemons  []*Halls
	readTo   []int
	learntAt []time.Time
}

func newHallPlay(daemons int) *hallPlay {
	p := &hallPlay{closed: make(map[string]bool), changed: make(map[string]time.Time)}
	for range daemons {
		h := NewHalls(emptyWithin)
		h.Take(HallNews{Whole: true}, 1, time.Now())
		p.daemons = append(p.daemons, h)
		p.readTo, p.learntAt = append(p.readTo, 0), append(p.learntAt, time.Now())
	}
	return p
}

// toggle closes an open hall, or opens a closed one.
func (p *hallPlay) toggle(hall string) {
	p.closed[hall], p.changed[hall] = !p.closed[hall], time.Now()
	p.words = append(p.words, HallChange{Hall: hall, Closed: p.closed[hall]})
}

// read lets a daemon read what is new.
func (p *hallPlay) read(daemon int) {
	p.daemons[daemon].Take(HallNews{Changes: slices.Clone(p.words[p.readTo[daemon]:])}, int64(len(p.words)+1), time.Now())
	p.readTo[daemon], p.learntAt[daemon] = len(p.words), time.Now()
}

// hear lets a daemon hear another one.
func (p *hallPlay) hear(daemon, from int) {
	p.daemons[daemon].Follow(p.daemons[from].Report(time.Now()), time.Now())
	if p.readTo[from] < p.readTo[daemon] {
		return
	}
	p.readTo[daemon] = p.readTo[from]
	if p.learntAt[from].After(p.learntAt[daemon]) {
		p.learntAt[daemon] = p.learntAt[from]
	}
}

// late returns the daemon and hall that are not closed though the daemon learnt after the
// operator's word and the bound has passed; nothing if all is well.
func (p *hallPlay) late() string {
	for hall, closed := range p.closed {
		if !closed || time.Since(p.changed[hall]) <= emptyWithin {
			continue
		}
		for i, h := range p.daemons {
			if p.learntAt[i].After(p.changed[hall]) && h.View().State(hall, time.Now()) != HallClosed {
				return fmt.Sprint(i, hall)
			}
		}
	}
	return ""
}

// settled lets all daemons read, and returns a hall of which one of them holds another
// state than the operator after the bound.
func (p *hallPlay) settled() string {
	for i := range p.daemons {
		p.read(i)
	}
	time.Sleep(emptyWithin)
	for hall, closed := range p.closed {
		for i, h := range p.daemons {
			if (h.View().State(hall, time.Now()) == HallClosed) != closed {
				return fmt.Sprint(i, hall)
			}
		}
	}
	return ""
}

// TestHallsAgree: whatever daemons read or hear, in any order and with gaps, none keeps a
// hall open longer than the bound after the operator's word as long as it reads or hears
// within that time, and all agree in the end.
func TestHallsAgree(outer *testing.T) {
	const daemons = 3
	rapid.Check(outer, func(t *rapid.T) {
		synctest.Test(outer, func(*testing.T) {
			p := newHallPlay(daemons)
			who := rapid.IntRange(0, daemons-1)
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					p.toggle(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall"))
				case 1:
					p.read(who.Draw(t, "daemon"))
				case 2:
					p.hear(who.Draw(t, "daemon"), who.Draw(t, "from"))
				}
				assert.Equal(t, p.late(), "")
			}
			assert.Equal(t, p.settled(), "")
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
