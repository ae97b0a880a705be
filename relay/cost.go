package relay

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// defaultServiceTime is what a request is taken to hold a slot of a service that
	// tells nothing of its times.
	defaultServiceTime = 30 * time.Millisecond
	// defaultAnswerTokens is the length of an answer, in tokens, of an engine that
	// tells none.
	defaultAnswerTokens = 150
	// crossZoneCost is the cost of sending to another zone.
	crossZoneCost = 4 * time.Millisecond
	// crowdingFactor is the cost of a replica whose slots are all taken, in multiples
	// of a pass; it grows with the cube of the part that is taken, since loads
	// that are told late add up the most where little is left.
	crowdingFactor = 2.0
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
	// connected holds the workers to which a connection is kept.
	connected map[string]bool
	// preferIdle has the replica chosen that has the least work in flight: if the request ends
	// it, the fewest others break with it.
	preferIdle bool
	// tightlyLimited reports whether few requests may go to a replica, so that one which may is not
	// kept from it by a connection that has to be opened, or by chance; nil for none.
	tightlyLimited func(r *fleet.Replica) bool
}

// isTightlyLimited reports whether few requests may go to a replica.
func (c costs) isTightlyLimited(r *fleet.Replica) bool {
	return c.tightlyLimited != nil && c.tightlyLimited(r)
}

// costsOf returns the costs of a service and model; slots counts for services
// without an engine.
func costsOf(e *fleet.Engine, model string, slots int) costs {
	if e == nil {
		return costs{slots: float64(max(slots, 1)), pass: defaultServiceTime, service: defaultServiceTime}
	}
	c := costs{slots: float64(max(e.Slots, 1)), perToken: e.PerToken(model)}
	c.pass, c.perRequest = e.Pass(model)
	tokens := e.UsualAnswer
	if tokens <= 0 {
		tokens = defaultAnswerTokens
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
	w += time.Duration(crowdingFactor * filled * filled * filled * float64(c.pass))
	if queued := busy - c.slots + 1; queued > 0 {
		w += time.Duration(queued / c.slots * float64(c.service))
	}
	return w
}
