package gateway

import (
	"errors"
	"fmt"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/quarantine/guard"
)

// Guard returns the guard that quarantines requests which crash their workers.
func (g *Gateway) Guard() *guard.Guard { return g.guard }

// guardRequest describes the request for the guard, which detects requests that crash their
// workers.
func (r *request) guardRequest() guard.Request {
	return guard.Request{
		ID: r.id, Account: r.account.Name(), Target: r.path, Bytes: len(r.body), Fingerprint: r.fingerprint,
	}
}

// fingerprint returns the request's fingerprint, which is computed on the first call.
func (r *request) fingerprint() quarantine.Fingerprint {
	r.fingerprintOnce.Do(func() {
		r.cachedFingerprint = quarantine.FingerprintOf(r.account.Name(), r.method, "", r.path, r.body)
	})
	return r.cachedFingerprint
}

// checkQuarantine returns a refusal if the request is quarantined for crashing its workers,
// otherwise nil.
func (g *Gateway) checkQuarantine(r *request, now time.Time) *refusal {
	state := g.guard.State(r.guardRequest(), now)
	if !state.Quarantined {
		return nil
	}
	return refuse(reason.Quarantined, "the request ended the workers that ran it").withRetryAfter(state.Until.Sub(now))
}

// reportBrokenAttempt reports to the guard that the connection of an attempt broke or that its
// answer was cut short. The guard then checks whether the worker has crashed. Nothing in an
// endpoint's answers identifies its process, so the worker ID contains the second of the failure:
// failures in different seconds count as different workers. Package quarantine merges crashes that
// are close in time, so a crash seen by two daemons counts once.
func (g *Gateway) reportBrokenAttempt(r *request, t *target, err error) {
	if !guard.IsConnectionBroken(err) && !errors.Is(err, errTruncated) {
		return
	}
	now := time.Now()
	w := guard.Worker{ID: fmt.Sprintf("%s/%s@%d", t.address, t.assignment, now.Unix()), Address: t.address}
	g.guard.HandleBrokenConnection(r.guardRequest(), w, t.sentAt, now)
}
