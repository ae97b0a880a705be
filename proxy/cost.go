package proxy

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// defaultServiceTime is the assumed time for which a request holds a slot of a service
	// without an engine.
	defaultServiceTime = 30 * time.Millisecond
	// defaultAnswerTokens is the assumed answer length, in tokens, of an engine that reports
	// none.
	defaultAnswerTokens = 150
	// crossZoneCost is added to the predicted wait at replicas in another data hall.
	crossZoneCost = 4 * time.Millisecond
	// crowdingFactor is the time, in passes, that is added to the predicted wait at a replica whose
	// slots are all taken. The added time is proportional to the cube of the occupied share, since
	// errors of outdated loads matter most when few slots are left.
	crowdingFactor = 2.0
)

// costs predicts how long a request waits at a replica for its first event.
type costs struct {
	slots float64
	// perToken is the time to read a prompt token.
	perToken time.Duration
	// passTime is the duration of one pass of the engine over its batch if the batch is empty,
	// perRequest the time that each request in the batch adds.
	passTime   time.Duration
	perRequest time.Duration
	// slotTime is how long a request holds its slot.
	slotTime time.Duration
	// connectedWorkers holds the IDs of the workers to which a connection is kept.
	connectedWorkers map[string]bool
	// preferIdle makes choices prefer the replica with the fewest requests in flight, so that a
	// crash caused by the request breaks the fewest others.
	preferIdle bool
	// tightlyLimited reports whether a replica accepts only few requests. Neither the cost of a
	// connection nor random noise is added for such a replica. Nil if no replica is limited like
	// that.
	tightlyLimited func(r *fleet.Replica) bool
}

// isTightlyLimited reports whether a replica accepts only few requests.
func (c costs) isTightlyLimited(r *fleet.Replica) bool {
	return c.tightlyLimited != nil && c.tightlyLimited(r)
}

// costsOf returns the costs of a service and model. slots is used only for services without an
// engine.
func costsOf(e *fleet.Engine, model string, slots int) costs {
	if e == nil {
		return costs{slots: float64(max(slots, 1)), passTime: defaultServiceTime, slotTime: defaultServiceTime}
	}
	c := costs{slots: float64(max(e.Slots, 1)), perToken: e.TimePerPromptToken(model)}
	c.passTime, c.perRequest = e.PassTimes(model)
	tokens := e.MeanAnswerTokens
	if tokens <= 0 {
		tokens = defaultAnswerTokens
	}
	pass := float64(c.passTime) + c.slots*float64(c.perRequest)
	c.slotTime = time.Duration(float64(tokens) * pass / float64(max(e.Stride, 1)))
	return c
}

// predictedWait returns the predicted wait for the first event at a replica with the given numbers
// of requests in flight and unread prompt tokens.
func (c costs) predictedWait(inFlight float64, unreadTokens int) time.Duration {
	wait := time.Duration(unreadTokens)*c.perToken + time.Duration(inFlight*float64(c.perRequest))
	occupiedShare := inFlight / c.slots
	wait += time.Duration(crowdingFactor * occupiedShare * occupiedShare * occupiedShare * float64(c.passTime))
	if queued := inFlight - c.slots + 1; queued > 0 {
		wait += time.Duration(queued / c.slots * float64(c.slotTime))
	}
	return wait
}
