package serving

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/drain"
	"quartzshelf.dev/common/headlimit"
	"quartzshelf.dev/common/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const (
	stopGrace      = 8 * time.Second
	stopAddressTTL = time.Second
	// fleetTime is how long before the stop the daemons start, connLead how long before it the connections of
	// callers are opened.
	fleetTime = 3 * time.Second
	connLead  = time.Second
	// bindingTime is how long after the begin of a stop a daemon may accept requests that it may cut off.
	bindingTime = addressTTLFactor*stopAddressTTL - addressMargin
	// refusalTime limits how long a refusal takes in virtual time.
	refusalTime = 10 * time.Millisecond
	workHeader  = "X-Work"
)

// connKind is the kind of connection over which a caller sends its request.
type connKind string

const (
	// connNew is opened for the request, connUnused and connKept before the stop. Only connKept has carried
	// a request before.
	connNew    connKind = "new"
	connUnused connKind = "unused"
	connKept   connKind = "kept"
)

// stopCall is a request around a stop.
type stopCall struct {
	// at is when the request is sent, relative to the begin of the stop. work is how long the worker takes.
	at, work time.Duration
	path     string
	conn     connKind
}

// stopOutcome is what the caller of a stopCall saw. Times count from the begin of the stop.
type stopOutcome struct {
	isUnread, isWhole bool
	status            int
	sentAt, endedAt   time.Duration
	runs              int
}

func drawStopCalls(rt *rapid.T) []stopCall {
	phases := []int{-100, 0, 1000, 1300, 2700, 2900, 3000, 3300, 3400, 3600, 7600, 7700, 7900}
	paths, conns := []string{"/safe/", "/once/", "/stream/"}, []connKind{connNew, connUnused, connKept}
	var calls []stopCall
	for range rapid.IntRange(1, 12).Draw(rt, "calls") {
		at := rapid.SampledFrom(phases).Draw(rt, "phase") + rapid.IntRange(-60, 60).Draw(rt, "offset")
		work := rapid.SampledFrom([]int{1, 100, 300, 1000, 3800, 4400, 4900}).Draw(rt, "work")
		calls = append(calls, stopCall{
			at: time.Duration(at) * time.Millisecond, work: time.Duration(work) * time.Millisecond,
			path: rapid.SampledFrom(paths).Draw(rt, "path"), conn: rapid.SampledFrom(conns).Draw(rt, "conn"),
		})
	}
	return calls
}

// TestStopCutsNoLateRequest guards against requests that a stopping daemon accepts although it will cut them off.
func TestStopCutsNoLateRequest(t *testing.T) {
	const late, work = 3100 * time.Millisecond, 4900 * time.Millisecond
	tests := map[string]stopCall{
		"new connection":           {at: late, work: work, path: "/safe/", conn: connNew},
		"connection opened before": {at: late, work: work, path: "/safe/", conn: connUnused},
		"connection used before":   {at: late, work: work, path: "/safe/", conn: connKept},
		"a stream":                 {at: late, work: work, path: "/stream/", conn: connNew},
		"it must not run again":    {at: late, work: work, path: "/once/", conn: connNew},
		"as the promise binds":     {at: bindingTime, work: work, path: "/stream/", conn: connNew},
		"just before that":         {at: bindingTime - time.Millisecond, work: work, path: "/stream/", conn: connNew},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, runStopCalls(t, 1, []stopCall{call}), "", "it is alone")
			assert.Equal(t, runStopCalls(t, 2, []stopCall{call}), "", "another daemon is ready")
		})
	}
}

// TestStopAnswersWhatItReads guards against connections that a stopping daemon closes under a request.
func TestStopAnswersWhatItReads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons, calls := rapid.IntRange(1, 2).Draw(rt, "daemons"), drawStopCalls(rt)
		if problem := runStopCalls(t, daemons, calls); problem != "" {
			rt.Fatalf("%s\n%d daemons, calls: %+v", problem, daemons, calls)
		}
	})
}

// runStopCalls stops one of the daemons among calls to it. It returns how a promise was broken, or "".
func runStopCalls(t *testing.T, daemons int, calls []stopCall) (problem string) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		runs := make(map[string]int)
		head := &signalHead{id: "head", process: func(r *http.Request) {
			mu.Lock()
			runs[r.Header.Get(signalHeaders.AttemptID)]++
			mu.Unlock()
			work, err := time.ParseDuration(cmp.Or(r.Header.Get(workHeader), "0s"))
			assert.Check(t, err)
			time.Sleep(work)
		}}
		s := newSignalFleet(t, 1, daemons, head).daemons[0]
		s.opts.Bounds.StopGracePeriod, s.opts.Bounds.AddressTTL = stopGrace, stopAddressTTL
		server, front := headlimit.NewServer(s.proxy, headerTimeout), newPipeListener("front")
		conns := drain.Track(server.Server)
		listener := conns.Listener(front)
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(listener)
		}()
		begun := time.Now().Add(fleetTime)
		outcomes := make([]stopOutcome, len(calls))
		var callers sync.WaitGroup
		for i, c := range calls {
			callers.Go(func() { outcomes[i] = c.send(front, fmt.Sprintf("r%d", i), begun) })
		}
		time.Sleep(time.Until(begun))
		s.stop(server.Server, conns, listener)
		end := time.Since(begun)
		callers.Wait()
		<-served
		mayCutUntil := bindingTime
		if daemons > 1 {
			mayCutUntil = 0
		}
		for i := range outcomes {
			outcomes[i].runs = runs[fmt.Sprintf("r%d", i)]
			problem = cmp.Or(problem, outcomes[i].check(end, mayCutUntil))
		}
		problem = cmp.Or(problem, checkStopEnd(outcomes, end))
	})
	return problem
}

// send opens the call's connection, sends the request at its time, and reads the response.
func (c stopCall) send(front *pipeListener, id string, begun time.Time) (o stopOutcome) {
	var conn net.Conn
	time.Sleep(time.Until(begun.Add(-connLead)))
	if c.conn != connNew {
		conn, _ = front.dial("caller")
		defer func() { _ = conn.Close() }()
	}
	if c.conn == connKept {
		o.exchange(conn, "/safe/", id+"-first", 0)
	}
	time.Sleep(time.Until(begun.Add(c.at)))
	o = stopOutcome{sentAt: time.Since(begun)}
	if conn == nil {
		opened, err := front.dial("caller")
		if err != nil {
			o.isUnread = true
			return o
		}
		conn = opened
		defer func() { _ = conn.Close() }()
	}
	o.exchange(conn, c.path, id, c.work)
	o.endedAt = time.Since(begun)
	return o
}

// exchange sends a request and reads its response.
func (o *stopOutcome) exchange(conn net.Conn, path, id string, work time.Duration) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: m\r\n%s: 100,50\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody",
		path, signalHeaders.AttemptID, id, signalHeaders.Model, signalHeaders.Usage, workHeader, work)
	if _, err := io.WriteString(conn, head); err != nil {
		o.isUnread = true
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	o.isWhole = err == nil && (o.status != http.StatusOK || strings.Contains(string(body), "whole"))
}

// check returns how the promise to one request was broken by a daemon that had stopped at end, or "". The end
// of the grace may cut requests that were sent before mayCutUntil.
func (o stopOutcome) check(end, mayCutUntil time.Duration) string {
	switch {
	case o.isUnread && o.sentAt < end-acceptMargin:
		return fmt.Sprintf("a request sent %s after the stop began was not read, %s before the end", o.sentAt, end-o.sentAt)
	case o.isUnread, o.isWhole && o.status == http.StatusOK:
		return ""
	case o.isWhole && o.status == http.StatusServiceUnavailable:
		return o.checkRefused()
	case o.sentAt < mayCutUntil && o.endedAt >= stopGrace-graceMargin:
		return ""
	}
	return fmt.Sprintf("a request sent %s after the stop began ended with status %d at %s, whole: %t", o.sentAt, o.status, o.endedAt, o.isWhole)
}

func (o stopOutcome) checkRefused() string {
	if o.sentAt < 0 || o.runs > 0 || o.endedAt-o.sentAt > refusalTime {
		return fmt.Sprintf("a request sent %s after the stop began was refused after %s, having run %d times", o.sentAt, o.endedAt-o.sentAt, o.runs)
	}
	return ""
}

// checkStopEnd checks that a stop ends in time, and soon after the last answer.
func checkStopEnd(outcomes []stopOutcome, end time.Duration) string {
	const idleTime = 500 * time.Millisecond
	last := addressTTLFactor*stopAddressTTL + addressMargin
	for _, o := range outcomes {
		if !o.isUnread {
			last = max(last, o.endedAt)
		}
	}
	if end > stopGrace || end > last+idleTime {
		return fmt.Sprintf("the daemon stopped after %s, with the last answer at %s", end, last)
	}
	return ""
}
