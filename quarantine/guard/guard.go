// Package guard detects requests that crash workers. If a worker's connection breaks, it checks
// whether the worker has ended, records a crash for the request of that connection, and informs
// peers. The records are kept by package quarantine.
package guard

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/telemetry"
)

// Request describes a request for lookups and logs.
type Request struct {
	ID string
	// Account is the client account, empty for a route that needs no key.
	Account, Host, Target string
	// Bytes is the length of the request body.
	Bytes int
	// Fingerprint returns the fingerprint, which is computed on the first call.
	Fingerprint func() quarantine.Fingerprint
	// Parts returns the parts of the prompt that other requests may share. It is nil for requests
	// without a prompt.
	Parts func() []quarantine.Part
}

// parts returns the parts of the prompt.
func (r *Request) parts() []quarantine.Part {
	if r.Parts == nil {
		return nil
	}
	return r.Parts()
}

// Options configures a Guard.
type Options struct {
	Dial Dial
	// OnQuarantined is called with requests that have just been quarantined; it may be nil.
	OnQuarantined func(all []quarantine.Fingerprint)
	// OnPartsQuarantined is called with parts of prompts that have just been quarantined; it may be
	// nil.
	OnPartsQuarantined func(all []quarantine.Fingerprint)
	// NotifyPeers is called when a report should be sent to peers at once; it may be nil.
	NotifyPeers func()
	Meter       *telemetry.Meter
	Logger      hclog.Logger
}

// Guard observes the requests of one daemon. It is safe for concurrent use.
type Guard struct {
	opts Options
	// table holds the records of requests, partTable those of parts of prompts.
	table     *quarantine.Table
	partTable *quarantine.Table
	checker   *endChecker
}

// New returns a guard without records.
func New(opts Options) *Guard {
	if opts.OnQuarantined == nil {
		opts.OnQuarantined = func([]quarantine.Fingerprint) {}
	}
	if opts.OnPartsQuarantined == nil {
		opts.OnPartsQuarantined = func([]quarantine.Fingerprint) {}
	}
	if opts.NotifyPeers == nil {
		opts.NotifyPeers = func() {}
	}
	g := &Guard{opts: opts, table: quarantine.NewTable(), partTable: quarantine.NewPartTable()}
	g.checker = &endChecker{dial: opts.Dial, onError: g.logCheckError, byWorker: make(map[string]*endCheck)}
	return g
}

// Table returns the table with the records of requests.
func (g *Guard) Table() *quarantine.Table { return g.table }

// Wait waits until all checks of workers have finished. It must not be called while requests are
// served.
func (g *Guard) Wait() { g.checker.checks.Wait() }

// State returns the state of a request. The caller must not send the request if it is quarantined.
// While there are no records, State does not compute the fingerprint of the request.
func (g *Guard) State(r Request, now time.Time) quarantine.State {
	var state quarantine.State
	if !g.table.Empty() {
		state = g.table.State(r.Fingerprint(), now)
	}
	if state.Quarantined || g.partTable.Empty() {
		return state
	}
	for _, part := range r.parts() {
		if s := g.partTable.State(part.Fingerprint, now); s.Quarantined {
			return s
		}
	}
	return state
}

// HandleBrokenConnection handles a request whose connection to the worker w broke now. If the
// worker has ended, it records a crash for the request. It waits up to blameDelay for the check of
// the worker, so that a request that is quarantined now is not retried.
func (g *Guard) HandleBrokenConnection(r Request, w Worker, sent, now time.Time) {
	crash := quarantine.Crash{Worker: w.ID, Sent: sent, Ended: now}
	check := g.checker.check(w, now)
	delay := time.NewTimer(blameDelay)
	defer delay.Stop()
	select {
	case <-check.done:
		g.blameIfEnded(r, check, crash)
	case <-delay.C:
		g.checker.checks.Go(func() {
			<-check.done
			g.blameIfEnded(r, check, crash)
		})
	}
}

// blameIfEnded blames a request if the check found that its worker has ended.
func (g *Guard) blameIfEnded(r Request, check *endCheck, crash quarantine.Crash) {
	if !check.hasEnded {
		return
	}
	g.partTable.BlameParts(r.parts(), crash, time.Now())
	state, marked := g.Blame(r.Fingerprint(), crash)
	if !state.Suspected() && !marked {
		return
	}
	message, log := "request suspected", g.opts.Logger.Info
	if marked {
		message, log = "request quarantined", g.opts.Logger.Warn
	}
	log(message, "request", r.ID, "fingerprint", r.Fingerprint().String(), "account", r.Account, "host", r.Host, "target", r.Target,
		"bytes", r.Bytes, "crashes", state.Crashes, "worker", crash.Worker, "until", state.Until)
}

// Blame records that a worker ended while it had a request. It informs peers at once if the request
// is now quarantined, or would be after one more crash.
func (g *Guard) Blame(f quarantine.Fingerprint, crash quarantine.Crash) (state quarantine.State, marked bool) {
	g.opts.Meter.CountQuarantineEvent("blamed")
	state, marked = g.table.Blame(f, crash, time.Now())
	if marked {
		g.reportMarked([]quarantine.Fingerprint{f})
	}
	if state.Suspected() || marked {
		g.opts.NotifyPeers()
	}
	return state, marked
}

func (g *Guard) reportMarked(all []quarantine.Fingerprint) {
	if len(all) == 0 {
		return
	}
	for range all {
		g.opts.Meter.CountQuarantineEvent("quarantined")
	}
	g.opts.OnQuarantined(all)
}

// Completed records that a worker completed a request, which proves that the request does not
// crash workers.
func (g *Guard) Completed(r Request) {
	if g.table.Empty() || !g.table.Clear(r.Fingerprint(), time.Now()) {
		return
	}
	g.opts.Meter.CountQuarantineEvent("cleared")
	g.opts.Logger.Warn("quarantined request completed", "request", r.ID, "fingerprint", r.Fingerprint().String())
	g.opts.NotifyPeers()
}

// Merge applies a report that a peer sent at the time sentAt. It returns true if a record changed,
// and so is to be reported to other peers.
func (g *Guard) Merge(all []quarantine.Entry, sentAt time.Time, peer string) (changed bool) {
	merged := g.table.Merge(all, sentAt, time.Now())
	for _, f := range merged.Marked {
		g.logReported(f, peer)
	}
	g.reportMarked(merged.Marked)
	for _, f := range merged.Lifted {
		g.logLifted(f, peer)
	}
	return merged.Changed
}

// Restore adds a quarantine that was read from persistent storage. The source is only logged.
func (g *Guard) Restore(m quarantine.Mark, source string) {
	if m.IsPart {
		g.restorePart(m, source)
		return
	}
	if !g.table.Restore(m, time.Now()) {
		return
	}
	g.logReported(m.Fingerprint, source)
	g.reportMarked([]quarantine.Fingerprint{m.Fingerprint})
}

// Lift ends the quarantine of a request or part at the request of an operator, and reports whether
// there was one.
func (g *Guard) Lift(f quarantine.Fingerprint, operator string) bool {
	now := time.Now()
	if !g.table.Clear(f, now) && !g.partTable.Clear(f, now) {
		return false
	}
	g.logLifted(f, operator)
	g.opts.NotifyPeers()
	return true
}

func (g *Guard) logReported(f quarantine.Fingerprint, source string) {
	state := g.table.State(f, time.Now())
	g.opts.Logger.Info("quarantine received", "fingerprint", f.String(), "by", source, "crashes", state.Crashes, "until", state.Until)
}

func (g *Guard) logLifted(f quarantine.Fingerprint, source string) {
	g.opts.Meter.CountQuarantineEvent("lifted")
	g.opts.Logger.Info("quarantine lifted", "fingerprint", f.String(), "by", source)
}

// logCheckError logs that a check whether a worker has ended failed.
func (g *Guard) logCheckError(w Worker, err error) {
	g.opts.Logger.Info("failed to check whether a worker ended", "worker", w.ID, "error", err)
}
