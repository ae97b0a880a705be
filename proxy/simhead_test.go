package proxy

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quartzshelf.dev/fleet"
)

// simEngine has passes of 30 ms and reads a prompt token in 0.1 ms.
var simEngine = &fleet.Engine{
	Slots: 20, PrefillPerSecond: 10_000, Step: 5 * time.Millisecond, StepPerRequest: 50 * time.Microsecond,
	Stride: 6, MeanAnswerTokens: 6 * fakeEvents,
}

const (
	// simPassTime is the duration of a pass that reads no prompts, simPromptTokenTime the time to
	// read one prompt token.
	simPassTime        = 30 * time.Millisecond
	simPromptTokenTime = 100 * time.Microsecond
	simAnswerEvents    = fakeEvents
	// simMaxReadTime is the longest time for which a pass reads prompts.
	simMaxReadTime = 200 * time.Millisecond
	// simCallerPatience is how long callers wait for the first event.
	simCallerPatience = 2 * time.Second
)

// simHead simulates the head of a replica in virtual time. It admits requests by priority, and
// reads prompts in pieces between the events of other streams.
type simHead struct {
	id   string
	zone string
	// isStalled reports whether the replica is stalled, isMuted whether a request gets no events
	// while others do.
	isStalled func() bool
	// passTime is the duration of a pass without reading; zero for simPassTime.
	passTime time.Duration
	isMuted  func(request string) bool
	// onRun is called with the body of each request that starts to run.
	onRun func(h *simHead, body string)

	mu sync.Mutex
	// conns holds the accepted connections.
	conns     []net.Conn
	isStopped bool
	runs      []*simRun
	// received lists the requests in order of arrival.
	received []string
}

// simRun is a request at a head.
type simRun struct {
	id   string
	body string
	conn net.Conn
	// rank is the request's priority, 0 being the most urgent.
	rank int
	// readTimeLeft is the time to read the rest of the prompt, nextEvent the number of the next
	// event.
	readTimeLeft time.Duration
	nextEvent    int
	hasBegun     bool
	// hasSlot reports whether the request has a slot.
	hasSlot bool
	// isCanceled reports whether the caller has disconnected.
	isCanceled bool
	done       chan struct{}
}

func (h *simHead) entry() *fleet.Worker {
	return &fleet.Worker{
		ID: h.id, Service: "models", Address: h.id, Zone: h.zone, Domain: "d" + h.zone, Slots: simEngine.Slots, Loaded: "m",
		Member: fleet.Membership{Group: h.id, Epoch: 1, State: fleet.Open},
	}
}

// accept adds a connection. It is closed when the head stops.
func (h *simHead) accept(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
	if h.isStopped {
		_ = c.Close()
	}
}

// stop closes all connections and discards all requests.
func (h *simHead) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isStopped, h.runs = true, nil
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// serve answers the requests of a connection.
func (h *simHead) serve(p *sync.WaitGroup, c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		run := &simRun{body: string(body), id: request.Header.Get(testNames.AttemptID), conn: c, nextEvent: 1, done: make(chan struct{})}
		run.readTimeLeft = time.Duration(promptTokens(request.Header.Get(testNames.Usage))) * simPromptTokenTime
		if last, err := strconv.Atoi(request.Header.Get(testNames.LastEventID)); err == nil {
			run.nextEvent = last + 1
		}
		if rank, err := strconv.Atoi(request.Header.Get(testNames.Priority)); err == nil {
			run.rank = rank
		}
		h.mu.Lock()
		h.runs, h.received = append(h.runs, run), append(h.received, run.id)
		h.mu.Unlock()
		// Wait for the next request, or the end of the connection.
		next := make(chan error, 1)
		p.Go(func() {
			_, err := reader.Peek(1)
			next <- err
		})
		select {
		case <-run.done:
			err = <-next
		case err = <-next:
			h.cancel(run)
		}
		if err != nil {
			return
		}
	}
}

// cancel marks a request whose caller has disconnected.
func (h *simHead) cancel(run *simRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.isCanceled = true
}

func (h *simHead) isCanceled(run *simRun) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return run.isCanceled
}

// run simulates passes until ctx ends.
func (h *simHead) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, cmp.Or(h.passTime, simPassTime))
		if h.isStalled != nil && h.isStalled() {
			continue
		}
		h.mu.Lock()
		runs := h.runs
		h.runs = nil
		h.mu.Unlock()
		kept, readTime := h.runPass(runs)
		wait(ctx, readTime)
		h.mu.Lock()
		h.runs = append(kept, h.runs...)
		slices.SortStableFunc(h.runs, func(a, b *simRun) int { return cmp.Compare(a.sortKey(), b.sortKey()) })
		h.mu.Unlock()
	}
}

// runPass reads prompts and sends the next events. It returns the requests that continue, and the
// time spent reading.
func (h *simHead) runPass(runs []*simRun) (kept []*simRun, readTime time.Duration) {
	for _, run := range runs {
		switch {
		case h.isCanceled(run):
			continue
		case len(kept) >= simEngine.Slots:
			kept = append(kept, run)
			continue
		}
		if !run.hasSlot && h.onRun != nil {
			h.onRun(h, run.body)
		}
		run.hasSlot = true
		piece := min(run.readTimeLeft, simMaxReadTime-readTime)
		run.readTimeLeft, readTime = run.readTimeLeft-piece, readTime+piece
		if run.readTimeLeft > 0 || h.isMuted != nil && h.isMuted(run.id) || run.sendEvent(h.id) {
			kept = append(kept, run)
		}
	}
	return kept, readTime
}

// sortKey returns the key by which requests are sorted. Running requests come before waiting ones,
// which are sorted by priority.
func (run *simRun) sortKey() int {
	if run.hasSlot {
		return -1
	}
	return run.rank
}

// sendEvent sends the next event and reports whether the request continues.
func (run *simRun) sendEvent(head string) bool {
	var text strings.Builder
	if !run.hasBegun {
		run.hasBegun = true
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n", run.id, head)
	}
	event := fmt.Sprintf("id: %d\ndata: event %d\n\n", run.nextEvent, run.nextEvent)
	fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	run.nextEvent++
	last := run.nextEvent > simAnswerEvents
	if last {
		text.WriteString("0\r\n\r\n")
	}
	if _, err := io.WriteString(run.conn, text.String()); err != nil || last {
		close(run.done)
		return false
	}
	return true
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
