package relay

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

// playedEngine has passes of 30 ms and reads a prompt token in 0.1 ms.
var playedEngine = &fleet.Engine{
	Slots: 20, PrefillPerSecond: 10_000, Step: 5 * time.Millisecond, StepPerRequest: 50 * time.Microsecond,
	Stride: 6, UsualAnswer: 6 * fakeEvents,
}

const (
	// playedReading is the most time that a pass reads prompts.
	playedPass    = 30 * time.Millisecond
	playedToken   = 100 * time.Microsecond
	playedAnswer  = fakeEvents
	playedReading = 200 * time.Millisecond
	// playedLeaves is how long callers wait for the first event.
	playedLeaves = 2 * time.Second
)

// playedHead is the head of a replica in a test's own time: it lets requests in by their
// priority and reads prompts in pieces between the events of other streams.
type playedHead struct {
	id   string
	zone string
	// still tells that the replica stands still, mute whether a request gets nothing
	// though the others move.
	still func() bool
	// passes is how long a pass takes without reading; zero for playedPass.
	passes time.Duration
	mute   func(request string) bool
	// runsText is called with the body of each request that begins to run.
	runsText func(h *playedHead, body string)

	mu sync.Mutex
	// conns are the connections that the head has accepted.
	conns []net.Conn
	over  bool
	runs  []*playedRun
	// seen lists the requests in the order in which they came.
	seen []string
}

// playedRun is a request at a head.
type playedRun struct {
	id   string
	body string
	conn net.Conn
	// rank is the request's priority, 0 being the most urgent.
	rank int
	// toRead is the time that the rest of its prompt takes, next its next event.
	toRead time.Duration
	next   int
	begun  bool
	// let tells that it has a slot.
	let bool
	// gone tells that its caller left.
	gone bool
	done chan struct{}
}

func (h *playedHead) entry() *fleet.Worker {
	return &fleet.Worker{
		ID: h.id, Service: "models", Address: h.id, Zone: h.zone, Domain: "d" + h.zone, Slots: playedEngine.Slots, Loaded: "m",
		Member: fleet.Membership{Group: h.id, Epoch: 1, State: fleet.Open},
	}
}

// accept takes a connection, which breaks when the head ends.
func (h *playedHead) accept(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
	if h.over {
		_ = c.Close()
	}
}

// end breaks all connections; nothing runs after it.
func (h *playedHead) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over, h.runs = true, nil
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// serve answers the requests of a connection.
func (h *playedHead) serve(p *sync.WaitGroup, c net.Conn) {
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
		run := &playedRun{body: string(body), id: request.Header.Get(testNames.Attempt), conn: c, next: 1, done: make(chan struct{})}
		run.toRead = time.Duration(promptTokens(request.Header.Get(testNames.Usage))) * playedToken
		if last, err := strconv.Atoi(request.Header.Get(testNames.LastEvent)); err == nil {
			run.next = last + 1
		}
		if rank, err := strconv.Atoi(request.Header.Get(testNames.Priority)); err == nil {
			run.rank = rank
		}
		h.mu.Lock()
		h.runs, h.seen = append(h.runs, run), append(h.seen, run.id)
		h.mu.Unlock()
		// The next request, or the end of the connection.
		next := make(chan error, 1)
		p.Go(func() {
			_, err := reader.Peek(1)
			next <- err
		})
		select {
		case <-run.done:
			err = <-next
		case err = <-next:
			h.drop(run)
		}
		if err != nil {
			return
		}
	}
}

// drop forgets a request whose caller has gone.
func (h *playedHead) drop(run *playedRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.gone = true
}

func (h *playedHead) left(run *playedRun) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return run.gone
}

// work plays passes until ctx ends.
func (h *playedHead) work(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, cmp.Or(h.passes, playedPass))
		if h.still != nil && h.still() {
			continue
		}
		h.mu.Lock()
		runs := h.runs
		h.runs = nil
		h.mu.Unlock()
		kept, read := h.pass(runs)
		wait(ctx, read)
		h.mu.Lock()
		h.runs = append(kept, h.runs...)
		slices.SortStableFunc(h.runs, func(a, b *playedRun) int { return cmp.Compare(a.order(), b.order()) })
		h.mu.Unlock()
	}
}

// pass reads prompts and sends the next events; it returns the requests that go on, and how
// long the reading takes.
func (h *playedHead) pass(runs []*playedRun) (kept []*playedRun, read time.Duration) {
	for _, run := range runs {
		switch {
		case h.left(run):
			continue
		case len(kept) >= playedEngine.Slots:
			kept = append(kept, run)
			continue
		}
		if !run.let && h.runsText != nil {
			h.runsText(h, run.body)
		}
		run.let = true
		piece := min(run.toRead, playedReading-read)
		run.toRead, read = run.toRead-piece, read+piece
		if run.toRead > 0 || h.mute != nil && h.mute(run.id) || run.step(h.id) {
			kept = append(kept, run)
		}
	}
	return kept, read
}

// order puts requests that run before those that wait, the more urgent first.
func (run *playedRun) order() int {
	if run.let {
		return -1
	}
	return run.rank
}

// step sends the next event and reports whether the run goes on.
func (run *playedRun) step(head string) bool {
	var text strings.Builder
	if !run.begun {
		run.begun = true
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n", run.id, head)
	}
	event := fmt.Sprintf("id: %d\ndata: event %d\n\n", run.next, run.next)
	fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	run.next++
	last := run.next > playedAnswer
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
