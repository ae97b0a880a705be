package relay

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// serviceTime is what a request is taken to hold a slot of a service that
	// tells nothing of its times.
	serviceTime = 30 * time.Millisecond
	// usualAnswer is the length of an answer, in tokens, of an engine that
	// tells none.
	usualAnswer = 150
	// crossZone is the cost of sending to another zone.
	crossZone = 4 * time.Millisecond
	// crowding is the cost of a replica whose slots are all taken, in multiples
	// of a pass; it grows with the cube of the part that is taken, since loads
	// that are told late add up the most where little is left.
	crowding = 2.0
)

// costs predicts how long a request waits at a replica for its first answer.
type costs struct {
	slots float64
	// perToken is the time to read a prompt token.
	perToken time.Duration
	// pass is the time of a pass without other requests, perRequest what each
	// adds to it.
	pass       time.Duration
	perRequest time.Duration
	// service is how long a request holds its slot.
	service time.Duration
	// kept holds the workers to which a connection is kept.
	kept map[string]bool
	// fewest has the replica chosen that has the least work in flight: if the request ends
	// it, the fewest others break with it.
	fewest bool
	// scarce reports whether few requests may go to a replica, so that one which may is not
	// kept from it by a connection that has to be opened, or by chance; nil for none.
	scarce func(r *fleet.Replica) bool
}

// isScarce reports whether few requests may go to a replica.
func (c costs) isScarce(r *fleet.Replica) bool { return c.scarce != nil && c.scarce(r) }

// costsOf returns the costs of a service and model; slots counts for services
// without an engine.
func costsOf(e *fleet.Engine, model string, slots int) costs {
	if e == nil {
		return costs{slots: float64(max(slots, 1)), pass: serviceTime, service: serviceTime}
	}
	c := costs{slots: float64(max(e.Slots, 1)), perToken: e.PerToken(model)}
	c.pass, c.perRequest = e.Pass(model)
	tokens := e.UsualAnswer
	if tokens <= 0 {
		tokens = usualAnswer
	}
	pass := float64(c.pass) + c.slots*float64(c.perRequest)
	c.service = time.Duration(float64(tokens) * pass / float64(max(e.Stride, 1)))
	return c
}

// wait returns the predicted wait at a replica with work in flight and prompt
// tokens to be read before.
func (c costs) wait(busy float64, prefill int) time.Duration {
	w := time.Duration(prefill)*c.perToken + time.Duration(busy*float64(c.perRequest))
	filled := busy / c.slots
	w += time.Duration(crowding * filled * filled * filled * float64(c.pass))
	if queued := busy - c.slots + 1; queued > 0 {
		w += time.Duration(queued / c.slots * float64(c.service))
	}
	return w
}
