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
	fleetTime = 10 * time.Second
	connLead  = time.Second
	// bindingTime is how long after the begin of a stop a daemon may accept requests that it may cut off.
	bindingTime = addressTTLFactor*stopAddressTTL - addressMargin
	// refusalTime limits how long a refusal takes in virtual time.
	refusalTime = 10 * time.Millisecond
	// historyCount is the number of requests on each route before the stop. The first is sent historyLead before
	// it, each of the others historyInterval after the one before.
	historyCount    = 24
	historyLead     = 9500 * time.Millisecond
	historyInterval = 300 * time.Millisecond
	// longestWork is how long workers take at most.
	longestWork = 6500 * time.Millisecond
	// stopTimeout is the timeout of all routes.
	stopTimeout = 7 * time.Second
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
	// bodyDelay is how long after the head of the request its body is sent.
	bodyDelay time.Duration
	// deadline is how long the caller waits; zero if it does not say so.
	deadline time.Duration
}

// stopPlay is a stop of one daemon.
type stopPlay struct {
	// daemons is how many are ready when the stop begins.
	daemons int
	// history is how long each of historyCount requests on each route took before the stop; zero for none.
	history time.Duration
	calls   []stopCall
}

// stopOutcome is what the caller of a stopCall saw. Times count from the begin of the stop; sentAt is when the
// whole request was sent.
type stopOutcome struct {
	// isUnread reports that the request was not sent whole, isPortClosed that no connection was to be had.
	isUnread, isPortClosed      bool
	isWhole                     bool
	status                      int
	headSentAt, sentAt, endedAt time.Duration
	// timeout is how long after its head the request may end unanswered.
	timeout time.Duration
	runs    int
}

var stopPaths = []string{"/safe/", "/once/", "/stream/"}

// drawStopPlay draws a stop whose requests take as long as those before it, or longer.
func drawStopPlay(rt *rapid.T) stopPlay {
	return stopPlay{
		daemons: rapid.IntRange(1, 2).Draw(rt, "daemons"),
		history: time.Duration(rapid.SampledFrom([]int{0, 1, 300, 2000}).Draw(rt, "history")) * time.Millisecond,
		calls:   drawStopCalls(rt),
	}
}

func drawStopCalls(rt *rapid.T) []stopCall {
	phases := []int{-100, 0, 1000, 1300, 2700, 2900, 3000, 3300, 3400, 3600, 7600, 7700, 7900}
	conns := []connKind{connNew, connUnused, connKept}
	var calls []stopCall
	for range rapid.IntRange(1, 12).Draw(rt, "calls") {
		at := rapid.SampledFrom(phases).Draw(rt, "phase") + rapid.IntRange(-60, 60).Draw(rt, "offset")
		work := rapid.SampledFrom([]int{1, 100, 300, 1000, 3800, 4400, 4900, 6500}).Draw(rt, "work")
		calls = append(calls, stopCall{
			at: time.Duration(at) * time.Millisecond, work: time.Duration(work) * time.Millisecond,
			path: rapid.SampledFrom(stopPaths).Draw(rt, "path"), conn: rapid.SampledFrom(conns).Draw(rt, "conn"),
			bodyDelay: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 50, 700, 2500}).Draw(rt, "bodyDelay")) * time.Millisecond,
			deadline:  time.Duration(rapid.SampledFrom([]int{0, 0, 200, 1000, 3000, 4300, 4900}).Draw(rt, "deadline")) * time.Millisecond,
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
			calls := []stopCall{call}
			assert.Equal(t, runStopPlay(t, stopPlay{daemons: 1, calls: calls}), "", "it is alone")
			assert.Equal(t, runStopPlay(t, stopPlay{daemons: 2, calls: calls}), "", "another daemon is ready")
		})
	}
}

// TestStopCutsNoRequestLongerThanOthers guards against requests that a stopping daemon accepts because earlier
// ones were short, and cuts off because they are longer.
func TestStopCutsNoRequestLongerThanOthers(t *testing.T) {
	const history, work = 300 * time.Millisecond, 5500 * time.Millisecond
	inFlight := stopCall{at: 2 * time.Second, work: 5 * time.Second, path: "/once/", conn: connNew}
	tests := map[string]stopPlay{
		"a late stream":                       {daemons: 2, calls: []stopCall{{at: 3100 * time.Millisecond, path: "/stream/"}}},
		"a late request":                      {daemons: 2, calls: []stopCall{{at: 3100 * time.Millisecond, path: "/once/"}}},
		"an early stream, others are ready":   {daemons: 2, calls: []stopCall{{at: 2500 * time.Millisecond, path: "/stream/"}}},
		"nobody else is ready":                {daemons: 1, calls: []stopCall{{at: 5 * time.Second, path: "/stream/"}, inFlight}},
		"nobody else is ready, as it binds":   {daemons: 1, calls: []stopCall{{at: bindingTime, path: "/stream/"}}},
		"its body comes late":                 {daemons: 2, calls: []stopCall{{at: 2 * time.Second, bodyDelay: 1500 * time.Millisecond, path: "/safe/"}}},
		"its body comes late, it is alone":    {daemons: 1, calls: []stopCall{{at: 2 * time.Second, bodyDelay: 1500 * time.Millisecond, path: "/safe/"}}},
		"its head came before, its body late": {daemons: 2, calls: []stopCall{{at: -100 * time.Millisecond, bodyDelay: 2200 * time.Millisecond, path: "/safe/"}}},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			play.history = history
			play.calls[0].work, play.calls[0].conn = work, connKept
			assert.Equal(t, runStopPlay(t, play), "")
		})
	}
}

// TestStopAnswersWhatItReads guards against connections that a stopping daemon closes under a request.
func TestStopAnswersWhatItReads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		play := drawStopPlay(rt)
		if problem := runStopPlay(t, play); problem != "" {
			rt.Fatalf("%s\n%+v", problem, play)
		}
	})
}

// runStopPlay stops one of the daemons among calls to it. It returns how a promise was broken, or "".
func runStopPlay(t *testing.T, play stopPlay) (problem string) {
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
		s := newSignalFleet(t, 1, play.daemons, head).daemons[0]
		s.configCache.Offer(newSignalConfig(2, stopTimeout), time.Now())
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
		outcomes := make([]stopOutcome, len(play.calls))
		var callers sync.WaitGroup
		play.sendHistory(front, &callers, begun)
		for i, c := range play.calls {
			callers.Go(func() { outcomes[i] = c.send(front, fmt.Sprintf("r%d", i), begun) })
		}
		time.Sleep(time.Until(begun))
		var closedAt time.Duration
		callers.Go(func() {
			<-front.closed
			closedAt = time.Since(begun)
		})
		s.stop(server.Server, conns, listener)
		end := time.Since(begun)
		callers.Wait()
		// Workers go on with requests that the daemon has given up.
		time.Sleep(longestWork)
		<-served
		mayCutUntil := bindingTime
		if play.daemons > 1 {
			mayCutUntil = 0
		}
		mu.Lock()
		defer mu.Unlock()
		for i := range outcomes {
			outcomes[i].runs = runs[fmt.Sprintf("r%d", i)]
			problem = cmp.Or(problem, outcomes[i].check(closedAt, end, mayCutUntil))
		}
		problem = cmp.Or(problem, checkStopEnd(outcomes, end))
	})
	return problem
}

// sendHistory sends the requests before the stop. callers waits for them.
func (p stopPlay) sendHistory(front *pipeListener, callers *sync.WaitGroup, begun time.Time) {
	if p.history == 0 {
		return
	}
	for _, path := range stopPaths {
		for i := range historyCount {
			c := stopCall{at: -historyLead + time.Duration(i)*historyInterval, work: p.history, path: path, conn: connNew}
			callers.Go(func() { c.send(front, fmt.Sprintf("history%s%d", path, i), begun) })
		}
	}
}

// send opens the call's connection, sends the request at its time, and reads the response.
func (c stopCall) send(front *pipeListener, id string, begun time.Time) (o stopOutcome) {
	var conn net.Conn
	if c.conn != connNew {
		time.Sleep(time.Until(begun.Add(-connLead)))
		conn, _ = front.dial("caller")
		defer func() { _ = conn.Close() }()
	}
	if c.conn == connKept {
		o.exchange(conn, id+"-first", stopCall{path: "/safe/"})
	}
	time.Sleep(time.Until(begun.Add(c.at)))
	o = stopOutcome{headSentAt: time.Since(begun), sentAt: time.Since(begun), timeout: stopTimeout}
	if c.deadline > 0 {
		o.timeout = c.deadline
	}
	if conn == nil {
		opened, err := front.dial("caller")
		if err != nil {
			o.isUnread, o.isPortClosed = true, true
			return o
		}
		conn = opened
		defer func() { _ = conn.Close() }()
	}
	o.exchange(conn, id, c)
	o.endedAt = time.Since(begun)
	o.sentAt += c.bodyDelay
	return o
}

// exchange sends a request and reads its response. A response may come before the body has been sent.
func (o *stopOutcome) exchange(conn net.Conn, id string, c stopCall) {
	const content = "body"
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: m\r\n%s: 100,50\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		c.path, signalHeaders.AttemptID, id, signalHeaders.Model, signalHeaders.Usage, workHeader, c.work, len(content))
	if c.deadline > 0 {
		head = strings.TrimSuffix(head, "\r\n") + fmt.Sprintf("%s: %d\r\n\r\n", signalHeaders.Deadline, c.deadline.Milliseconds())
	}
	if _, err := io.WriteString(conn, head); err != nil {
		o.isUnread = true
		return
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		time.Sleep(c.bodyDelay)
		// An error means that the response has come before.
		_, _ = io.WriteString(conn, content)
	})
	defer sending.Wait()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	o.isWhole = err == nil && (o.status != http.StatusOK || strings.Contains(string(body), "whole"))
}

// check returns how the promise to one request was broken by a daemon that closed its port at closedAt and stopped
// at end, or "". All requests must be read until the port closes, on open connections until the end. None may be
// in flight once the port is closed. The end of the grace may cut requests that were sent before mayCutUntil.
func (o stopOutcome) check(closedAt, end, mayCutUntil time.Duration) string {
	readUntil := end - acceptMargin
	if o.isPortClosed {
		readUntil = closedAt
	}
	switch {
	case o.isUnread && o.headSentAt < readUntil:
		return fmt.Sprintf("a request sent %s after the stop began was not read, although the port closed at %s and the daemon stopped at %s", o.headSentAt, closedAt, end)
	case o.isWhole && o.status == http.StatusOK && o.endedAt > closedAt+acceptMargin:
		return fmt.Sprintf("a request sent %s after the stop began was answered at %s, although the port closed at %s", o.sentAt, o.endedAt, closedAt)
	case o.isUnread, o.isWhole && o.status == http.StatusOK:
		return ""
	case o.isWhole && o.status == http.StatusServiceUnavailable:
		return o.checkRefused()
	case o.status == http.StatusGatewayTimeout && o.endedAt-o.headSentAt >= o.timeout:
		return ""
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
