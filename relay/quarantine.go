package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
)

var errQuarantined = errors.New("the request ended workers elsewhere meanwhile")

// unbegun holds the streams that were sent and have no event yet. It is safe for concurrent
// use.
type unbegun struct {
	mu   sync.Mutex
	held map[*request]context.CancelCauseFunc
}

func (u *unbegun) add(c *request, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held[c] = cancel
}

func (u *unbegun) remove(c *request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.held, c)
}

// cancel cuts those off that are chosen.
func (u *unbegun) cancel(chosen func(c *request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c, cancel := range u.held {
		if chosen(c) {
			cancel(errQuarantined)
		}
	}
}

// quarantined returns the refusal of a request that ended the workers which ran it, at this
// daemon or others, or nil. A bound on each attempt's sends alone bounds nothing: such a
// request comes again under another id, at another daemon.
func (r *Relay) quarantined(c *request, now time.Time) *refusal {
	if r.opts.Quarantine.Empty() {
		return nil
	}
	state := r.opts.Quarantine.State(c.fingerprint(), now)
	c.suspected = state.Suspected()
	if !state.Quarantined {
		return nil
	}
	return unavailable(reason.Quarantined, "the request ended the workers that ran it", state.Until.Sub(now))
}

// blame notes a request whose attempt broke off if its worker has ended. The request waits a
// moment for that to be known, so that it is not sent on if it is quarantined now.
func (r *Relay) blame(c *request, replica *fleet.Replica, now time.Time) {
	head := replica.Head
	if listed, ok := r.opts.View().Worker(head.ID); ok && listed.Draining {
		// It ended as it had said that it would.
		return
	}
	crash := quarantine.Crash{Worker: head.ID, Sent: c.sentAt, Ended: now}
	look := r.endings.of(head, now)
	late := time.NewTimer(endedSoon)
	defer late.Stop()
	select {
	case <-look.done:
		r.blameIfEnded(c, look, crash)
	case <-late.C:
		r.endings.checks.Go(func() {
			<-look.done
			r.blameIfEnded(c, look, crash)
		})
	}
}

func (r *Relay) blameIfEnded(c *request, look *ending, crash quarantine.Crash) {
	if !look.ended {
		return
	}
	state, marked := r.Blame(c.fingerprint(), crash)
	if !state.Suspected() && !marked {
		return
	}
	message, log := "request suspected", r.opts.Logger.Info
	if marked {
		message, log = "request quarantined", r.opts.Logger.Warn
	}
	log(message, "request", c.id, "fingerprint", c.fingerprint().String(), "account", c.account(), "host", c.host, "target", c.target,
		"bytes", len(c.body), "crashes", state.Crashes, "worker", crash.Worker, "until", state.Until)
}

// Blame notes that a worker ended which had a request, and tells peers at once if another
// crash would quarantine it or this one did.
func (r *Relay) Blame(f quarantine.Fingerprint, crash quarantine.Crash) (state quarantine.State, marked bool) {
	r.opts.Meter.Quarantine("blamed")
	state, marked = r.opts.Quarantine.Blame(f, crash, time.Now())
	if marked {
		r.CutOff([]quarantine.Fingerprint{f})
	}
	if state.Suspected() || marked {
		r.opts.Spread()
	}
	return state, marked
}

// CutOff cuts off requests that are quarantined from now on, as long as they may not have
// begun to run: each of them would end its worker. Streams that have events go on; if one of
// them ends well the quarantine was wrong, and ends.
func (r *Relay) CutOff(marked []quarantine.Fingerprint) {
	for _, f := range marked {
		r.opts.Meter.Quarantine("quarantined")
		r.unbegun.cancel(func(c *request) bool { return c.fingerprint() == f })
	}
}

// tellUnclear logs that it can't be told whether a worker whose connection broke has ended.
func (r *Relay) tellUnclear(w *fleet.Worker, err error) {
	r.opts.Logger.Info("not known whether a worker ended", "worker", w.ID, "error", err)
}

// completedBy notes that a worker ran a request to its end: whatever ended workers that had
// it was something else. The end of an answer without a length may be the worker's own end,
// and one without a signature is not the worker's.
func (r *Relay) completedBy(c *request, e *exchange) {
	framed := e.response.ContentLength >= 0 || chunked(e.response)
	if !framed || e.response.Header.Get(r.opts.Names.Signature) == "" {
		return
	}
	if r.opts.Quarantine.Empty() || !r.opts.Quarantine.Clear(c.fingerprint(), time.Now()) {
		return
	}
	r.opts.Meter.Quarantine("cleared")
	r.opts.Logger.Warn("request was quarantined and runs well", "request", c.id, "fingerprint", c.fingerprint().String())
	r.opts.Spread()
}
