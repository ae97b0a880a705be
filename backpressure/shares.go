package backpressure

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"quartzshelf.dev/allowance"
)

// MembersMost is how many daemons of a data hall hold shares: the fittest, who are known to
// all of a hall that have read who there is.
const MembersMost = 8

const (
	// shareLeast is the least rate of a share, in requests a second, where there are several:
	// a share's first token comes after as long as it takes at its rate.
	shareLeast = 0.25
	// askLeast is the least rate, in requests a second, at which a worker is asked whatever it
	// named: nobody else would learn that it takes more again.
	askLeast = 0.1
	// staleAfter is how long nobody must have heard a limit for its shares to pass to one
	// other daemon, and to the next one as long again later: those that hold them may be gone,
	// or get no requests.
	staleAfter = 10 * time.Second
)

// Bound bounds the requests that a worker which named a limit gets within any Window from
// all daemons together: Burst times what the limit allows, and Slack more.
type Bound struct {
	Burst, Slack float64
	Window       time.Duration
}

// division is the shares into which a limit is divided, and at which rate requests are sent
// by each.
type division struct {
	shares int
	rate   float64
}

// most returns how many requests may come within the window. One stays unused, for what is
// held up on its way.
func (b Bound) most(perSecond float64) float64 {
	return b.Burst*perSecond*b.Window.Seconds() + b.Slack - 1
}

// sent returns how many requests a share sends within the window at most: one that it had a
// token for before, and those whose tokens come within it, or a moment earlier.
func (b Bound) sent(rate float64) float64 {
	return 1 + rate*(b.Window+allowance.SendWithin).Seconds()
}

// divide divides a limit into as many shares as the bound bears with one more, which a daemon
// may hold that others do not know yet, and as have a rate that is worth while. More shares
// lose less where daemons are gone or get few requests.
func (b Bound) divide(perSecond float64, most int) division {
	total := max(perSecond, askLeast)
	for shares := min(most, max(int(total/shareLeast), 1)); shares > 0; shares-- {
		rate := total / float64(shares)
		if float64(shares+1)*b.sent(rate) <= b.most(perSecond) {
			return division{shares: shares, rate: rate}
		}
	}
	return b.single(perSecond)
}

// single returns a division into one share, of which two may be held at once.
func (b Bound) single(perSecond float64) division {
	const held = 2
	rate := (b.most(perSecond)/held - 1) / (b.Window + allowance.SendWithin).Seconds()
	return division{shares: 1, rate: max(min(rate, max(perSecond, askLeast)), 0)}
}

// place is where a daemon stands among those that hold shares.
type place struct {
	self, hall string
	halls      []string
	// members are the daemons of its hall that hold shares; empty while they are not known.
	members []string
}

// held returns how many shares of a worker the daemon holds. Data halls get the same number
// each, give or take one, and so do the daemons of a hall. Who comes first differs from
// worker to worker, and is the same by the word of all: no daemon has to know those of other
// halls.
func (p place) held(worker string, shares int) int {
	inHall := dealt(p.hall, p.halls, worker, shares)
	return dealt(p.self, p.members, worker, inHall)
}

// dealt returns how many of some shares one of all gets.
func dealt(one string, all []string, worker string, shares int) int {
	rank := slices.Index(byWeight(all, worker), one)
	if rank < 0 {
		return 0
	}
	each, over := shares/len(all), shares%len(all)
	if rank < over {
		return each + 1
	}
	return each
}

// byWeight orders names by their hash with a worker.
func byWeight(all []string, worker string) []string {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(allowance.Weigh(b, worker), allowance.Weigh(a, worker)), cmp.Compare(a, b))
	})
	return all
}

// staleKey stands for a worker whose limit nobody has heard for so long, so that another
// daemon holds its share each time.
func staleKey(worker string, silent time.Duration) string {
	return worker + "#" + strconv.Itoa(int(silent/staleAfter))
}
