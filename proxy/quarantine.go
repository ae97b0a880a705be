package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/quarantine/guard"
)

var errQuarantined = errors.New("the request ended workers elsewhere meanwhile")

// Guard returns the guard against requests that crash their workers.
func (p *Proxy) Guard() *guard.Guard { return p.guard }

// guardRequest returns the guard's description of the request.
func (c *request) guardRequest() guard.Request {
	return guard.Request{
		ID: c.id, Account: c.account(), Host: c.host, Target: c.target, Bytes: len(c.body), Fingerprint: c.fingerprint, Parts: c.promptParts,
	}
}

// checkQuarantine returns a refusal if the request is quarantined because it crashed workers, at
// this daemon or others. Otherwise it returns nil. It also sets isSuspected.
func (p *Proxy) checkQuarantine(c *request, now time.Time) *refusal {
	state := p.guard.State(c.guardRequest(), now)
	c.isSuspected = state.Suspected()
	if !state.Quarantined {
		return nil
	}
	return newUnavailable(reason.Quarantined, "the request ended the workers that ran it", state.Until.Sub(now))
}

// reportCrash reports a broken attempt to the guard, unless the worker had announced that it
// would stop.
func (p *Proxy) reportCrash(c *request, replica *fleet.Replica) {
	head := replica.Head
	if listed, ok := p.opts.View().Worker(head.ID); ok && listed.Draining {
		return
	}
	w := guard.Worker{ID: head.ID, Address: head.Address}
	if p.opts.IsReplaced != nil {
		w.Replaced = func(ctx context.Context) (bool, error) { return p.opts.IsReplaced(ctx, head) }
	}
	p.guard.HandleBrokenConnection(c.guardRequest(), w, c.chosenAt, time.Now())
}

// cancelQuarantined cancels the waiting streams of newly quarantined requests, because each would
// crash its worker. Streams that have received events continue. If one of them completes, the
// quarantine is lifted.
func (p *Proxy) cancelQuarantined(marked []quarantine.Fingerprint) {
	for _, f := range marked {
		p.waitingStreams.cancel(errQuarantined, func(c *request) bool { return c.fingerprint() == f })
	}
}

// cancelQuarantinedParts cancels the waiting streams with newly quarantined parts of prompts.
func (p *Proxy) cancelQuarantinedParts(marked []quarantine.Fingerprint) {
	isMarked := func(part quarantine.Part) bool { return slices.Contains(marked, part.Fingerprint) }
	p.waitingStreams.cancel(errQuarantined, func(c *request) bool { return slices.ContainsFunc(c.promptParts(), isMarked) })
}

// recordCompletion reports to the guard that a worker completed a request. An answer that is
// neither chunked nor has a length doesn't count, since a crash may have cut it short. An answer
// without the worker's signature doesn't count either.
func (p *Proxy) recordCompletion(c *request, e *exchange) {
	if e.isUnframed() || e.response.Header.Get(p.opts.Names.Signature) == "" {
		return
	}
	p.guard.Completed(c.guardRequest())
	if e.response.StatusCode < http.StatusMultipleChoices {
		p.guard.AnsweredWithSuccess(c.guardRequest())
	}
}
