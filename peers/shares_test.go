package peers

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sumOfShares returns the sum of the shares that daemons may use.
func sumOfShares(all []*simDaemon) float64 {
	sum := 0.0
	for _, d := range all {
		sum += d.agent.Share()
	}
	return sum
}

// TestSharesAddUpAcrossPartition guards against daemons that take the shares of those that they do not
// hear, also if they were started during a partition.
func TestSharesAddUpAcrossPartition(t *testing.T) {
	const tolerance = 1e-3
	tests := map[string]struct{ halls, perHall int }{
		"a small fleet":          {halls: 3, perHall: 3},
		"a fleet with relays":    {halls: 3, perHall: 24},
		"a fleet with one hall":  {halls: 1, perHall: 2},
		"a fleet of two daemons": {halls: 2, perHall: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, 5, func(t *testing.T, n *network) {
				all := n.addFleet(t, test.halls, test.perHall, 1)
				time.Sleep(3 * time.Second)
				assert.Assert(t, math.Abs(sumOfShares(all)-1) < tolerance, "%g", sumOfShares(all))
				n.cut(all)
				time.Sleep(5 * time.Second)
				assert.Assert(t, sumOfShares(all) < 1+tolerance, "%g", sumOfShares(all))
				all[0] = n.restart(t, all[0], all)
				time.Sleep(20 * time.Second)
				assert.Assert(t, sumOfShares(all) < 1+tolerance, "%g after a restart", sumOfShares(all))
				n.heal(all)
				time.Sleep(5 * time.Second)
				assert.Assert(t, math.Abs(sumOfShares(all)-1) < tolerance, "%g after the partition", sumOfShares(all))
			})
		})
	}
}

// cut separates the first half of the daemons from the others.
func (n *network) cut(all []*simDaemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, d := range all {
		d.side = min(i*2/len(all), 1)
	}
}

// heal ends a partition.
func (n *network) heal(all []*simDaemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range all {
		d.side = 0
	}
}

// restart replaces a daemon's process. The new one knows the identities of all daemons.
func (n *network) restart(t *testing.T, d *simDaemon, all []*simDaemon) *simDaemon {
	t.Helper()
	d.stop()
	number, hall := 0, d.hall()
	_, err := fmt.Sscanf(d.id(), "front-"+hall+"-%d", &number)
	assert.NilError(t, err)
	restarted := n.add(t, hall, number, d.agent.opts.Self.Capacity)
	n.update(func() { restarted.side = d.side })
	for _, other := range all {
		restarted.agent.Table().Learn(other.agent.opts.Self, time.Now())
	}
	return restarted
}

func TestShares(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	known := []string{"a", "b", "c", "d"}
	all := ShareView{Heard: known, Known: known, Size: 4}
	later := start.Add(time.Minute)
	tests := map[string]struct {
		views []ShareView
		// last is when the last view is given. The others are given a minute after the start.
		last time.Time
		want float64
	}{
		"all are heard":                       {views: []ShareView{all}, last: later, want: 0.25},
		"the count exceeds those known by ID": {views: []ShareView{{Heard: known, Known: known, Size: 100}}, last: later, want: 0.01},
		"one falls silent":                    {views: []ShareView{all, {Heard: known[:3], Known: known, Size: 3}}, last: later, want: 0.25},
		"all others fall silent":              {views: []ShareView{all, {Known: known, Size: 1}}, last: later, want: 0.25},
		"one has been silent for long":        {views: []ShareView{all, {Heard: known[:2], Known: known, Size: 2}}, last: later.Add(shareRetention + 1), want: 0.5},
		"few are heard after the start":       {views: []ShareView{{Heard: known[:2], Known: known, Size: 2}}, last: later, want: 0.25},
		"a peer knows of more":                {views: []ShareView{{Heard: known, Known: known, Size: 4, LowestReported: 0.125}}, last: later, want: 0.125},
		"a peer knew of more":                 {views: []ShareView{{Heard: known, Known: known, Size: 4, LowestReported: 0.125}, all}, last: later, want: 0.25},
		"a silent one is replaced":            {views: []ShareView{all, {Heard: []string{"a", "b", "c", "e"}, Known: append(known, "e"), Size: 4}}, last: later, want: 0.75 / 4},
		"the fleet was counted as larger":     {views: []ShareView{{Heard: known, Known: known, Size: 8}, all}, last: later, want: 0.125},
		"it was counted as larger long ago":   {views: []ShareView{{Heard: known, Known: known, Size: 8}, all}, last: later.Add(shareRetention + 1), want: 0.25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewShares(start)
			for i, view := range test.views {
				at := later
				if i == len(test.views)-1 {
					at = test.last
				}
				s.Update("a", view, at)
			}
			assert.Assert(t, math.Abs(s.Usable()-test.want) < 1e-9, "%g", s.Usable())
		})
	}
}

// BenchmarkShares measures an update in a fleet of which a relay hears a third.
func BenchmarkShares(b *testing.B) {
	var ids []string
	for i := range 986 {
		ids = append(ids, fmt.Sprint("front-", i))
	}
	now := time.Now()
	s := NewShares(now)
	view := ShareView{Heard: ids[:330], Known: ids, Size: len(ids)}
	for b.Loop() {
		s.Update(ids[0], view, now)
	}
}
