package allowance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/fleet"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// coldReplica is a replica headed by the worker that warms up.
var coldReplica = &fleet.Replica{ID: "g", Head: &fleet.Worker{ID: "w", Service: "models", Zone: "hall"}}

const (
	// bearableRate is the rate that the worker bears while it warms up, in requests a second.
	bearableRate = 14.0
	// step is how often each daemon tries to send.
	step = 20 * time.Millisecond
)

var start = time.Unix(1000, 0)

// daemon simulates a daemon that sends all requests its allowance permits.
type daemon struct {
	id        string
	members   []string
	allowance *Allowance
	// In the span frozen the process does not run. In the span slow its connections do not open.
	// At the times in restarts it is killed and started again.
	frozen, slow span
	restarts     []time.Duration
	// pending lists the send deadlines of requests that have a token and wait for their connection.
	pending []time.Time
	sent    []time.Time
}

// span is a period relative to the start of the test.
type span struct{ from, to time.Duration }

func (s span) covers(at time.Duration) bool { return s.from <= at && at < s.to }

func (d *daemon) restart(bound Bound, now time.Time) {
	view := viewOf(&fleet.Worker{ID: "w", Service: "models", Zone: "hall", ColdRemainingMillis: 1 << 30}, now)
	config := configOf(bearableRate)
	d.pending = nil
	d.allowance = New(Options{
		Self: d.id, Members: func() []string { return d.members }, Bound: bound,
		View: func() *fleet.View { return view }, Halls: func() *fleet.HallView { return nil },
		Config: func() *fleet.Config { return config }, Changed: func(*fleet.Worker, bool) {},
	})
	d.allowance.Refresh(now)
}

// runStep runs one step of the daemon.
func (d *daemon) runStep(bound Bound, at time.Duration) {
	now := start.Add(at)
	if slices.Contains(d.restarts, at) {
		d.restart(bound, now)
	}
	if d.frozen.covers(at) {
		return
	}
	if sendBy, ok := d.allowance.Take(coldReplica, now); ok {
		d.pending = append(d.pending, sendBy)
	}
	if d.slow.covers(at) {
		return
	}
	for _, sendBy := range d.pending {
		if !now.After(sendBy) {
			d.sent = append(d.sent, now)
		}
	}
	d.pending = nil
}

// maxPerSecond returns the number of requests sent in the busiest second.
func maxPerSecond(all []*daemon) int {
	var sent []time.Time
	for _, d := range all {
		sent = append(sent, d.sent...)
	}
	slices.SortFunc(sent, time.Time.Compare)
	busiest, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= time.Second {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest
}

// drawSpan draws a span that starts and ends at a step.
func drawSpan(t *rapid.T, name string) span {
	from := rapid.IntRange(0, 100).Draw(t, name+" from")
	return span{from: time.Duration(from) * step, to: time.Duration(from+rapid.IntRange(0, 100).Draw(t, name+" for")) * step}
}

// drawDaemon draws a daemon with its own freezes, slow connections and restarts.
func drawDaemon(t *rapid.T, id string) *daemon {
	d := &daemon{id: id, frozen: drawSpan(t, "frozen"), slow: drawSpan(t, "slow")}
	for range rapid.IntRange(0, 6).Draw(t, "restarts") {
		d.restarts = append(d.restarts, time.Duration(rapid.IntRange(1, 199).Draw(t, "restart"))*step)
	}
	return d
}

// drawDaemons draws daemons on two sides of a network partition. All daemons of a side know the
// same members, which include themselves. The members of the two sides may be disjoint, and all
// daemons may freeze at the same time.
func drawDaemons(t *rapid.T) []*daemon {
	areDisjoint, freezeTogether := rapid.Bool().Draw(t, "disjoint"), rapid.Bool().Draw(t, "together")
	frozen, slow := drawSpan(t, "all frozen"), drawSpan(t, "all slow")
	var views [2][]string
	var sides [2][]*daemon
	for i := range rapid.IntRange(1, 16).Draw(t, "daemons") {
		d := drawDaemon(t, fmt.Sprintf("daemon-%d", i))
		if freezeTogether {
			d.frozen, d.slow = frozen, slow
		}
		side := rapid.IntRange(0, 1).Draw(t, "side")
		sides[side] = append(sides[side], d)
		views[side] = append(views[side], d.id)
		if !areDisjoint && rapid.Bool().Draw(t, "known to the other side") {
			views[1-side] = append(views[1-side], d.id)
		}
	}
	for side, all := range sides {
		for _, d := range all {
			d.members = views[side]
		}
	}
	return append(sides[0], sides[1]...)
}

// TestSumStaysBelowBound checks that daemons with freezes, restarts and slow connections together
// never send more requests in a second than the bound allows.
func TestSumStaysBelowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{Burst: rapid.Float64Range(1, 2).Draw(t, "burst"), Slack: float64(rapid.IntRange(0, 12).Draw(t, "slack"))}
		all := drawDaemons(t)
		for _, d := range all {
			d.restart(bound, start)
		}
		for at := time.Duration(0); at < 4*time.Second; at += step {
			for _, d := range all {
				d.runStep(bound, at)
			}
		}
		allowed := bearableRate*bound.Burst + bound.Slack
		assert.Assert(t, float64(maxPerSecond(all)) <= allowed, "%d sent in a second, %.1f allowed", maxPerSecond(all), allowed)
	})
}

// TestTotalRate checks that a large fleet uses at least half of the rate that a worker bears, and
// no more than all of it.
func TestTotalRate(t *testing.T) {
	var members []string
	for i := range 90 {
		members = append(members, fmt.Sprintf("daemon-%d", i))
	}
	var all []*daemon
	bound := Bound{Burst: 1.5, Slack: 5}
	sent := 0
	for _, id := range members {
		d := &daemon{id: id, members: members}
		d.restart(bound, start)
		for at := time.Duration(0); at < 10*time.Second; at += step {
			d.runStep(bound, at)
		}
		sent += len(d.sent)
		all = append(all, d)
	}
	assert.Assert(t, sent >= 70 && float64(sent) <= 10*bearableRate, "%d requests in 10 s", sent)
	assert.Assert(t, maxPerSecond(all) <= 13, "half of the bound, since another view may use the other half")
}

func TestDaemonWithoutMembersSendsNothing(t *testing.T) {
	d := &daemon{id: "a"}
	d.restart(Bound{Burst: 1.5, Slack: 5}, start)
	for at := time.Duration(0); at < 4*time.Second; at += step {
		d.runStep(Bound{Burst: 1.5, Slack: 5}, at)
	}
	assert.Equal(t, len(d.sent), 0)
}
