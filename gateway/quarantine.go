package gateway

import (
	"errors"
	"fmt"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/quarantine/guard"
)

// Guard returns what keeps requests that end their workers from workers.
func (g *Gateway) Guard() *guard.Guard { return g.guard }

// guarded returns the request as the guard knows it.
func (r *request) guarded() guard.Request {
	return guard.Request{
		ID: r.id, Account: r.account.Name(), Target: r.path, Bytes: len(r.body), Fingerprint: r.fingerprint,
	}
}

// fingerprint returns the request's fingerprint, which is computed when it is first asked for.
func (r *request) fingerprint() quarantine.Fingerprint {
	r.fingerprintOnce.Do(func() {
		r.fingerprintHeld = quarantine.FingerprintOf(r.account.Name(), r.method, "", r.path, r.body)
	})
	return r.fingerprintHeld
}

// quarantined returns the refusal of a request that ended the workers which ran it, or nil.
func (g *Gateway) quarantined(r *request, now time.Time) *refusal {
	state := g.guard.Judge(r.guarded(), now)
	if !state.Quarantined {
		return nil
	}
	return refuse(reason.Quarantined, "the request ended the workers that ran it").after(state.Until.Sub(now))
}

// broke notes a request whose attempt failed with an error, if its worker has ended. A process
// that starts again at an address has another life each time, which nothing names here: a
// second tells them apart, and crashes that two daemons see in different seconds count once.
func (g *Gateway) broke(r *request, t *target, err error) {
	if !guard.BrokeOff(err) && !errors.Is(err, errCut) {
		return
	}
	now := time.Now()
	w := guard.Worker{ID: fmt.Sprintf("%s/%s@%d", t.address, t.assignment, now.Unix()), Address: t.address}
	g.guard.Broke(r.guarded(), w, t.sentAt, now)
}
