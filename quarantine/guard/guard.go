// Package guard keeps requests that end their workers from workers: it looks whether a worker
// ended whose connection broke, blames the requests that were there, and tells peers. What is
// believed of a request is decided by the package quarantine.
package guard

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/telemetry"
)

// Request is a request as it is known and logged.
type Request struct {
	ID string
	// Account is the client account, empty for a route that needs no key.
	Account, Host, Target string
	// Bytes is the length of its body.
	Bytes int
	// Fingerprint computes the fingerprint, or returns the one computed before.
	Fingerprint func() quarantine.Fingerprint
}

// Options configures a Guard.
type Options struct {
	Dial Dial
	// Marked is called with requests that are quarantined from now on, Spread when peers are
	// to be told at once; nil for nobody.
	Marked func(all []quarantine.Fingerprint)
	Spread func()
	Meter  *telemetry.Meter
	Logger hclog.Logger
}

// Guard is one daemon's guard. It is safe for concurrent use.
type Guard struct {
	opts    Options
	table   *quarantine.Table
	endings *endings
}

// New returns a guard that knows nothing.
func New(opts Options) *Guard {
	if opts.Marked == nil {
		opts.Marked = func([]quarantine.Fingerprint) {}
	}
	if opts.Spread == nil {
		opts.Spread = func() {}
	}
	g := &Guard{opts: opts, table: quarantine.NewTable()}
	g.endings = &endings{dial: opts.Dial, unclear: g.tellUnclear, held: make(map[string]*ending)}
	return g
}

// Table returns what is known of requests.
func (g *Guard) Table() *quarantine.Table { return g.table }

// Wait waits until every look at a worker has ended. No request may be served any more.
func (g *Guard) Wait() { g.endings.checks.Wait() }

// Judge returns what is believed of a request before it is sent. A bound on each attempt's
// sends alone bounds nothing: a request that ends workers comes again under another id, at
// another daemon. While nothing is known of any request it costs nothing.
func (g *Guard) Judge(r Request, now time.Time) quarantine.State {
	if g.table.Empty() {
		return quarantine.State{}
	}
	return g.table.State(r.Fingerprint(), now)
}

// Broke notes a request that was sent at a time and whose connection broke now, if its worker
// has ended. It waits a moment for that to be known, so that the request is not sent on if it
// is quarantined now.
func (g *Guard) Broke(r Request, w Worker, sent, now time.Time) {
	crash := quarantine.Crash{Worker: w.ID, Sent: sent, Ended: now}
	look := g.endings.of(w, now)
	late := time.NewTimer(endedSoon)
	defer late.Stop()
	select {
	case <-look.done:
		g.blameIfEnded(r, look, crash)
	case <-late.C:
		g.endings.checks.Go(func() {
			<-look.done
			g.blameIfEnded(r, look, crash)
		})
	}
}

func (g *Guard) blameIfEnded(r Request, look *ending, crash quarantine.Crash) {
	if !look.ended {
		return
	}
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

// Blame notes that a worker ended which had a request, and tells peers at once if another
// crash would quarantine it or this one did.
func (g *Guard) Blame(f quarantine.Fingerprint, crash quarantine.Crash) (state quarantine.State, marked bool) {
	g.opts.Meter.Quarantine("blamed")
	state, marked = g.table.Blame(f, crash, time.Now())
	if marked {
		g.marked([]quarantine.Fingerprint{f})
	}
	if state.Suspected() || marked {
		g.opts.Spread()
	}
	return state, marked
}

func (g *Guard) marked(all []quarantine.Fingerprint) {
	if len(all) == 0 {
		return
	}
	for range all {
		g.opts.Meter.Quarantine("quarantined")
	}
	g.opts.Marked(all)
}

// Completed notes that a worker ran a request to its end: whatever ended workers that had it
// was something else.
func (g *Guard) Completed(r Request) {
	if g.table.Empty() || !g.table.Clear(r.Fingerprint(), time.Now()) {
		return
	}
	g.opts.Meter.Quarantine("cleared")
	g.opts.Logger.Warn("request was quarantined and runs well", "request", r.ID, "fingerprint", r.Fingerprint().String())
	g.opts.Spread()
}

// Merge takes what a peer reported at a time, and reports whether that is to be passed on.
func (g *Guard) Merge(all []quarantine.Entry, at time.Time, by string) (news bool) {
	merged := g.table.Merge(all, at, time.Now())
	for _, f := range merged.Marked {
		g.tellReported(f, by)
	}
	g.marked(merged.Marked)
	for _, f := range merged.Lifted {
		g.tellLifted(f, by)
	}
	return merged.News
}

// Restore takes a mark that was kept outside of the daemons.
func (g *Guard) Restore(m quarantine.Mark, by string) {
	if !g.table.Restore(m, time.Now()) {
		return
	}
	g.tellReported(m.Fingerprint, by)
	g.marked([]quarantine.Fingerprint{m.Fingerprint})
}

// Lift ends a quarantine by an operator's word, and reports whether there was one.
func (g *Guard) Lift(f quarantine.Fingerprint, by string) bool {
	if !g.table.Clear(f, time.Now()) {
		return false
	}
	g.tellLifted(f, by)
	g.opts.Spread()
	return true
}

func (g *Guard) tellReported(f quarantine.Fingerprint, by string) {
	state := g.table.State(f, time.Now())
	g.opts.Logger.Info("request quarantined by report", "fingerprint", f.String(), "by", by, "crashes", state.Crashes, "until", state.Until)
}

func (g *Guard) tellLifted(f quarantine.Fingerprint, by string) {
	g.opts.Meter.Quarantine("lifted")
	g.opts.Logger.Info("quarantine lifted", "fingerprint", f.String(), "by", by)
}

// tellUnclear logs that it can't be told whether a worker whose connection broke has ended.
func (g *Guard) tellUnclear(w Worker, err error) {
	g.opts.Logger.Info("not known whether a worker ended", "worker", w.ID, "error", err)
}
