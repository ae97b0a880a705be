package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/quarantine/guard"
)

var errQuarantined = errors.New("the request ended workers elsewhere meanwhile")

// waitingStreams holds the streams that were sent and have no event yet. It is safe for concurrent
// use.
type waitingStreams struct {
	mu   sync.Mutex
	held map[*request]context.CancelCauseFunc
}

func (u *waitingStreams) add(c *request, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held[c] = cancel
}

func (u *waitingStreams) remove(c *request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.held, c)
}

// cancel cuts those off that are chosen.
func (u *waitingStreams) cancel(chosen func(c *request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c, cancel := range u.held {
		if chosen(c) {
			cancel(errQuarantined)
		}
	}
}

// Guard returns what keeps requests that end their workers from workers.
func (r *Relay) Guard() *guard.Guard { return r.guard }

// guardRequest returns the request as the guard knows it.
func (c *request) guardRequest() guard.Request {
	return guard.Request{
		ID: c.id, Account: c.account(), Host: c.host, Target: c.target, Bytes: len(c.body), Fingerprint: c.fingerprint,
	}
}

// checkQuarantine returns the refusal of a request that ended the workers which ran it, at this
// daemon or others, or nil.
func (r *Relay) checkQuarantine(c *request, now time.Time) *refusal {
	state := r.guard.Judge(c.guardRequest(), now)
	c.isSuspected = state.Suspected()
	if !state.Quarantined {
		return nil
	}
	return unavailable(reason.Quarantined, "the request ended the workers that ran it", state.Until.Sub(now))
}

// reportCrash notes a request whose attempt broke off if its worker has ended otherwise than it had
// said.
func (r *Relay) reportCrash(c *request, replica *fleet.Replica) {
	head := replica.Head
	if listed, ok := r.opts.View().Worker(head.ID); ok && listed.Draining {
		return
	}
	w := guard.Worker{ID: head.ID, Address: head.Address}
	if r.opts.Replaced != nil {
		w.Replaced = func(ctx context.Context) (bool, error) { return r.opts.Replaced(ctx, head) }
	}
	r.guard.Broke(c.guardRequest(), w, c.sentAt, time.Now())
}

// cancelQuarantined cuts off requests that are quarantined from now on, as long as they may not have
// begun to run: each of them would end its worker. Streams that have events go on; if one of
// them ends well the quarantine was wrong, and ends.
func (r *Relay) cancelQuarantined(marked []quarantine.Fingerprint) {
	for _, f := range marked {
		r.waitingStreams.cancel(func(c *request) bool { return c.fingerprint() == f })
	}
}

// recordCompletion notes that a worker ran a request to its end. The end of an answer without a
// length may be the worker's own end, and one without a signature is not the worker's.
func (r *Relay) recordCompletion(c *request, e *exchange) {
	framed := e.response.ContentLength >= 0 || chunked(e.response)
	if framed && e.response.Header.Get(r.opts.Names.Signature) != "" {
		r.guard.Completed(c.guardRequest())
	}
}
