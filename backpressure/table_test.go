package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

var start = time.Unix(1000, 0)

// answer is an answer of the worker "w" to a request. The times at which the request was sent and
// the answer arrives are relative to start.
type answer struct {
	born     int64
	sent, at time.Duration
	signal   Signal
}

func limitSignal(perSecond float64) Signal { return Signal{Limited: true, PerSecond: perSecond} }

var noLimitSignal = Signal{Unlimited: true}

func TestHear(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		answers []answer
		events  []Event
		// limited and resting are the expected counts ten seconds after start.
		limited, resting int
	}{
		"nothing":                             {answers: []answer{{at: s, signal: noLimitSignal}}},
		"a limit":                             {answers: []answer{{at: s, signal: limitSignal(1.5)}}, events: []Event{LimitNamed}, limited: 1},
		"the same limit again":                {answers: []answer{{at: s, signal: limitSignal(1.5)}, {at: 2 * s, signal: limitSignal(1.5)}}, events: []Event{LimitNamed}, limited: 1},
		"another limit":                       {answers: []answer{{at: s, signal: limitSignal(1.5)}, {at: 2 * s, signal: limitSignal(0)}}, events: []Event{LimitNamed, LimitChanged}, limited: 1},
		"the end of a limit":                  {answers: []answer{{at: s, signal: limitSignal(1.5)}, {sent: 2 * s, at: 3 * s, signal: noLimitSignal}}, events: []Event{LimitNamed, LimitDropped}},
		"an answer to an earlier request":     {answers: []answer{{at: 2 * s, signal: limitSignal(1.5)}, {sent: s, at: 3 * s, signal: noLimitSignal}}, events: []Event{LimitNamed}, limited: 1},
		"an unsigned answer without a limit":  {answers: []answer{{at: s, signal: limitSignal(1.5)}, {sent: 2 * s, at: 3 * s}}, events: []Event{LimitNamed}, limited: 1},
		"another incarnation has no limit":    {answers: []answer{{at: s, signal: limitSignal(1.5)}, {born: 1, at: 2 * s, signal: noLimitSignal}}, events: []Event{LimitNamed}},
		"another incarnation has a limit too": {answers: []answer{{at: s, signal: limitSignal(1.5)}, {born: 1, at: 2 * s, signal: limitSignal(3)}}, events: []Event{LimitNamed, LimitNamed}, limited: 1},
		"rest":                                {answers: []answer{{at: 9 * s, signal: Signal{Rest: 3 * s}}}, events: []Event{RestAsked}, resting: 1},
		"rest that is over":                   {answers: []answer{{at: s, signal: Signal{Rest: 3 * s}}}, events: []Event{RestAsked}},
		"a longer rest":                       {answers: []answer{{at: 8 * s, signal: Signal{Rest: s}}, {at: 8500 * time.Millisecond, signal: Signal{Rest: 3 * s}}}, events: []Event{RestAsked}, resting: 1},
		"a shorter rest does not shorten":     {answers: []answer{{at: 8 * s, signal: Signal{Rest: 3 * s}}, {at: 9 * s, signal: Signal{Rest: time.Millisecond}}}, events: []Event{RestAsked}, resting: 1},
		"rest again":                          {answers: []answer{{at: s, signal: Signal{Rest: s}}, {at: 9 * s, signal: Signal{Rest: 3 * s}}}, events: []Event{RestAsked, RestAsked}, resting: 1},
		"two shutdown notices":                {answers: []answer{{at: s, signal: Signal{Leaving: true}}, {at: 2 * s, signal: Signal{Leaving: true}}}, events: []Event{Leaving}},
		"a shutdown notice with a limit":      {answers: []answer{{at: s, signal: Signal{Leaving: true, Limited: true, PerSecond: 1}}}, events: []Event{LimitNamed, Leaving}, limited: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var events []Event
			table := NewTable(testOptions(func(c Change) { events = append(events, c.Event) }))
			for _, w := range test.answers {
				table.Observe(&fleet.Worker{ID: "w", StartedAt: w.born}, w.signal, start.Add(w.sent), start.Add(w.at))
			}
			assert.DeepEqual(t, events, test.events)
			assert.Equal(t, table.CountLimited(), test.limited)
			assert.Equal(t, table.CountResting(start.Add(10*s)), test.resting)
		})
	}
}

// TestForget checks that the record of a worker is removed once the worker has not been listed for
// recordRetention, and kept if it is listed again before.
func TestForget(t *testing.T) {
	table := NewTable(testOptions(func(Change) {}))
	table.Observe(&fleet.Worker{ID: "w", StartedAt: 1}, Signal{Leaving: true}, start, start)
	table.Observe(&fleet.Worker{ID: "v", StartedAt: 1}, limitSignal(1), start, start)
	all := func(worker string, _ int64) bool { return worker == "w" }
	none := func(string, int64) bool { return false }
	table.Forget(none, start)
	table.Forget(none, start.Add(recordRetention/2))
	assert.Equal(t, table.CountLimited()+table.CountLeaving(), 2)
	table.Forget(all, start.Add(recordRetention/2))
	table.Forget(none, start.Add(recordRetention+time.Second))
	assert.Equal(t, table.CountLimited(), 0)
	assert.Equal(t, table.CountLeaving(), 1)
	table.Forget(none, start.Add(2*recordRetention))
	assert.Equal(t, table.CountLeaving(), 0)
}

var testBound = Bound{Burst: 1.5, Slack: 5, Window: 4 * time.Second}

// testOptions returns the options of a single daemon.
func testOptions(changed func(c Change)) Options {
	return Options{
		Self: "a", Hall: "hall", Halls: []string{"hall"}, Members: func() []string { return []string{"a"} },
		Bound: testBound, Changed: changed,
	}
}
