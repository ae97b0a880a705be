package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/telemetry"
)

// simulation runs daemons and heads without a network, within synctest.
type simulation struct {
	ctx       context.Context
	inventory *fleet.Inventory
	heads     map[string]*simHead
	daemons   []*Proxy
	// callerPatience is how long callers wait for the first event.
	callerPatience time.Duration
	// bodyOf returns the body of a request. If it is nil, all requests have the same body.
	bodyOf func(id string) string
	// crashes counts the heads that crashed.
	crashes    int
	calls      sync.WaitGroup
	background sync.WaitGroup

	mu      sync.Mutex
	results map[string]simCall
}

// simCall is a caller's answer. firstBytesAfter and endedAfter are the times from the request to
// the first bytes and to the end of the answer.
type simCall struct {
	answerSeen
	firstBytesAfter, endedAfter time.Duration
}

// newSimulation starts daemons and heads. They stop when the test ends.
func newSimulation(t *testing.T, daemons int, heads ...*simHead) *simulation {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &simulation{ctx: ctx, callerPatience: simCallerPatience, heads: make(map[string]*simHead), results: make(map[string]simCall)}
	p.inventory = fleet.NewInventory(fleet.InventoryOptions{Heartbeat: 1200 * time.Millisecond})
	for _, h := range heads {
		p.addHead(h)
	}
	for range daemons {
		r := p.newDaemon(t, daemons)
		p.daemons = append(p.daemons, r)
		p.background.Go(func() { r.Run(ctx) })
	}
	p.background.Go(p.reportLoads)
	t.Cleanup(func() {
		p.calls.Wait()
		cancel()
		for _, r := range p.daemons {
			// Close kept connections, so that their goroutines end.
			r.upstream.sweep(time.Now().Add(time.Hour))
		}
		p.background.Wait()
	})
	return p
}

// addHead starts another head.
func (p *simulation) addHead(h *simHead) {
	p.mu.Lock()
	p.heads[h.id] = h
	p.mu.Unlock()
	p.inventory.Apply([]fleet.Change{{ID: h.id, Worker: h.entry()}}, p.inventory.Position()+1, time.Now())
	p.background.Go(func() { h.run(p.ctx) })
}

func (p *simulation) newDaemon(t *testing.T, daemons int) *Proxy {
	t.Helper()
	meter, err := telemetry.NewMeter()
	assert.NilError(t, err)
	config := simConfig()
	r := New(Options{
		Names: testNames, Config: func() *fleet.Config { return config }, ConfigConfirmedAt: time.Now,
		ServeLate: true, View: p.inventory.View, Tracker: NewTracker("", func(*fleet.Replica) {}),
		Budget:      RetryBudget{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 1000, Daemons: func() int { return daemons }, Share: func() float64 { return 1 / float64(daemons) }},
		NotifyPeers: func() { p.shareQuarantine() },
		Shutdown:    func() *Shutdown { return nil }, Meter: meter, Logger: hclog.NewNullLogger(),
	})
	// The daemons have been running for longer than a window of the budget.
	r.budget.youngUntil = time.Time{}
	r.upstream.dial = func(_ context.Context, _, address string) (net.Conn, error) {
		p.mu.Lock()
		h, ok := p.heads[address]
		p.mu.Unlock()
		if !ok {
			return nil, syscall.ECONNREFUSED
		}
		near, far := net.Pipe()
		h.accept(far)
		p.background.Go(func() { h.serve(&p.background, far) })
		return near, nil
	}
	return r
}

// shareQuarantine gives all daemons the quarantine reports of all others at once.
func (p *simulation) shareQuarantine() {
	now := time.Now()
	for _, from := range p.daemons {
		report := from.guard.Table().Report(now, true)
		for _, to := range p.daemons {
			to.guard.Merge(report, now, "peer")
		}
	}
}

// crash simulates the crash of a head. Its connections are closed, no new ones are accepted, and it
// is removed from the inventory after three heartbeats. A new head replaces it.
func (p *simulation) crash(h *simHead) {
	p.mu.Lock()
	if p.heads[h.id] != h {
		p.mu.Unlock()
		return
	}
	delete(p.heads, h.id)
	p.crashes++
	next := &simHead{id: fmt.Sprintf("%s-%d", h.id, p.crashes), zone: h.zone, onRun: h.onRun}
	p.mu.Unlock()
	h.stop()
	p.background.Go(func() {
		wait(p.ctx, 3*1200*time.Millisecond)
		p.inventory.Apply([]fleet.Change{{ID: h.id}}, p.inventory.Position()+1, time.Now())
	})
	p.background.Go(func() {
		wait(p.ctx, 2*time.Second)
		p.addHead(next)
	})
}

// reportLoads gives each daemon the loads of the others five times a second. They arrive after a
// delay, as reports do in a large fleet.
func (p *simulation) reportLoads() {
	const interval, delay = 200 * time.Millisecond, 200 * time.Millisecond
	for p.ctx.Err() == nil {
		wait(p.ctx, interval)
		loads := make([]peers.Loads, len(p.daemons))
		for i, r := range p.daemons {
			loads[i] = r.opts.Tracker.OwnLoads()
		}
		p.background.Go(func() {
			wait(p.ctx, delay)
			p.deliverLoads(loads, delay)
			p.shareQuarantine()
		})
	}
}

func (p *simulation) deliverLoads(loads []peers.Loads, age time.Duration) {
	for i, to := range p.daemons {
		for j := range loads {
			if i != j {
				summary := peers.Summary{Daemons: 1, Loads: slices.Clone(loads[j]), Age: age.Milliseconds()}
				for k := range summary.Loads {
					if summary.Loads[k].EventAgeMillis > 0 {
						summary.Loads[k].EventAgeMillis += age.Milliseconds()
					}
				}
				to.opts.Tracker.SetPeerLoads(strconv.Itoa(j), summary, time.Now())
			}
		}
	}
}

// simWriter records when the first bytes of an answer arrived.
type simWriter struct {
	*httptest.ResponseRecorder
	firstBytesAt time.Time
	// firstEventTimer cancels the call if no bytes arrive before callerPatience has passed.
	firstEventTimer *time.Timer
}

func (w *simWriter) Write(b []byte) (int, error) {
	if w.firstBytesAt.IsZero() {
		w.firstBytesAt = time.Now()
		w.firstEventTimer.Stop()
	}
	return w.ResponseRecorder.Write(b)
}

// call starts a stream request through a daemon. timeout is how long the caller waits for the whole
// stream.
func (p *simulation) call(daemon int, id string, promptTokens int, timeout time.Duration) {
	p.calls.Go(func() { p.send(daemon, id, promptTokens, timeout) })
}

// send is like call, but returns when the answer has ended.
func (p *simulation) send(daemon int, id string, promptTokens int, timeout time.Duration) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	body := "body"
	if p.bodyOf != nil {
		body = p.bodyOf(id)
	}
	request := httptest.NewRequest(http.MethodPost, "/stream/", strings.NewReader(body)).WithContext(ctx)
	request.Host = "h"
	request.Header.Set(testNames.AttemptID, id)
	request.Header.Set(testNames.Model, "m")
	request.Header.Set(testNames.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set(testNames.Usage, strconv.Itoa(promptTokens)+",40")
	w := &simWriter{ResponseRecorder: httptest.NewRecorder(), firstEventTimer: time.AfterFunc(p.callerPatience, cancel)}
	defer w.firstEventTimer.Stop()
	got := simCall{answerSeen: answerSeen{isComplete: true}}
	func() {
		defer func() {
			if recover() != nil {
				got.isComplete = false
			}
		}()
		p.daemons[daemon].ServeHTTP(w, request)
	}()
	got.status, got.header, got.body = w.Code, w.Header(), w.Body.String()
	got.firstBytesAfter, got.endedAfter = w.firstBytesAt.Sub(sent), time.Since(sent)
	p.mu.Lock()
	p.results[id] = got
	p.mu.Unlock()
}

// isServed reports whether a caller has received its whole stream.
func (p *simulation) isServed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	got := p.results[id]
	return got.status == http.StatusOK && got.isComplete && got.body == wholeStream()
}

// count returns how many of n calls satisfy wanted. Their IDs are name and a number.
func (p *simulation) count(name string, n int, wanted func(id string) bool) int {
	count := 0
	for i := range n {
		if wanted(fmt.Sprint(name, i)) {
			count++
		}
	}
	return count
}

// timesReceived returns how often heads received a request.
func (p *simulation) timesReceived(id string) int {
	n := 0
	for _, h := range p.heads {
		h.mu.Lock()
		for _, seen := range h.received {
			if seen == id {
				n++
			}
		}
		h.mu.Unlock()
	}
	return n
}

func simConfig() *fleet.Config {
	return fleet.NewConfig(fleet.Parts{
		Version: 1,
		Routes: []*fleet.Route{{
			Host: "h", Prefix: "/stream/", Kind: fleet.Stream, Timeout: 6 * time.Second, MaxAttempts: 2, Resumable: true, Public: true,
			Objective: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond,
			Targets: []fleet.Target{{Service: "models", Weight: 1}},
		}},
		Services: []*fleet.Service{{Name: "models", Engine: simEngine}},
	})
}
