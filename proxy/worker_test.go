package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quartzshelf.dev/fleet"
)

// behaviour is what a fake worker does with a request.
type behaviour string

const (
	// answers sends a complete answer.
	answers behaviour = "answers"
	// rejects rejects the request before it runs.
	rejects behaviour = "rejects"
	// misdirects answers that the request is meant for another worker.
	misdirects behaviour = "misdirects"
	// fails runs the request and answers with an error.
	fails behaviour = "fails"
	// drops resets the connection instead of answering, and runs nothing.
	drops behaviour = "drops"
	// loses runs the request and closes the connection without an answer.
	loses behaviour = "loses"
	// cuts runs the request and breaks off within the answer.
	cuts behaviour = "cuts"
	// tears breaks a stream off within an event.
	tears behaviour = "tears"
	// unsigned answers without a signature.
	unsigned behaviour = "unsigned"
	// surplus first sends an answer to another request.
	surplus behaviour = "surplus"
	// garbles sends bytes that are not an HTTP answer.
	garbles behaviour = "garbles"
	// floods runs the request and sends 8 MiB that are not an HTTP answer and have no line end.
	floods behaviour = "floods"
	// swells runs the request and sends an answer whose body has no length, and 64 MiB of it unless the
	// connection is closed.
	swells behaviour = "swells"
	// announces runs the request and sends the head of an answer whose body is announced to be 1 TB long.
	announces behaviour = "announces"
	// rambles runs the request and sends 8 MiB of an event without an end.
	rambles behaviour = "rambles"
	// stalls sends two events and then nothing.
	stalls behaviour = "stalls"
	// explains runs the request and answers with a client error and longExplanation.
	explains behaviour = "explains"
	// vanishes runs the request and ends the connection after the header of an answer that has neither
	// a length nor chunks.
	vanishes behaviour = "vanishes"
	// losesEnd sends all events of a stream and breaks off before its end.
	losesEnd behaviour = "loses the end"
	// waits runs the request, but sends nothing.
	waits behaviour = "waits"
	// ends runs the request, then closes the connection and stops listening, like a process that
	// crashed.
	ends behaviour = "ends"
	// sendsRaw runs the request and sends the bytes of the worker's raw answer.
	sendsRaw behaviour = "sends raw bytes"
)

var testNames = HeaderNames{
	AttemptID: "X-Attempt", Deadline: "X-Deadline", Key: "X-Key", Tenant: "X-Tenant", Instance: "X-Instance",
	NotRun: "X-Not-Run", Signature: "X-Signature", Model: "X-Model", Usage: "X-Usage",
	LastEventID: "Last-Event-Id", Priority: "X-Priority", Prefix: "X-Prefix",
}

// longExplanation is longer than an event of a stream may be.
var longExplanation = strings.Repeat("because ", maxEventBytes/4)

// fakeEvents is the number of events of a complete stream.
const fakeEvents = 9

// fakeWorker is a worker with its own port.
type fakeWorker struct {
	id       string
	listener net.Listener
	// script holds the behaviours for the next requests. Requests after those are answered.
	mu     sync.Mutex
	script []behaviour
	// runsByRequest counts the runs by the ID of the request. received holds the headers of all
	// requests.
	runsByRequest map[string]int
	received      []http.Header
	// connectionCount counts the accepted connections, extraHeader is added to each answer.
	connectionCount int
	extraHeader     string
	// raw is what sendsRaw sends. $ID in it stands for the request's ID.
	raw string
	// onRequest is called when a request has arrived, before the worker acts on it.
	onRequest func()
}

func newFakeWorker(t *testing.T, id string, script ...behaviour) *fakeWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{id: id, listener: l, script: script, runsByRequest: make(map[string]int)}
	t.Cleanup(func() { _ = l.Close() })
	go w.accept()
	return w
}

func (w *fakeWorker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.connectionCount++
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *fakeWorker) nextBehaviour() behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.script) == 0 {
		return answers
	}
	b := w.script[0]
	w.script = w.script[1:]
	return b
}

func (w *fakeWorker) runs(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runsByRequest[request]
}

func (w *fakeWorker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(c, r) {
			return
		}
	}
}

// answer handles a request according to the next behaviour. It reports whether the connection stays
// open.
func (w *fakeWorker) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(testNames.AttemptID)
	b := w.nextBehaviour()
	if w.onRequest != nil {
		w.onRequest()
	}
	w.mu.Lock()
	w.received = append(w.received, r.Header)
	if b != rejects && b != misdirects && b != drops {
		w.runsByRequest[id]++
	}
	w.mu.Unlock()
	signedHeader := "X-Attempt: " + id + "\r\nX-Signature: " + w.id + "\r\n" + w.extraHeader
	switch b {
	case rejects:
		writeText(c, "HTTP/1.1 503 Full\r\nX-Attempt: "+id+"\r\nX-Not-Run: 1\r\n"+w.extraHeader+"Content-Length: 0\r\n\r\n")
		return true
	case misdirects:
		writeText(c, "HTTP/1.1 421 Another\r\nX-Attempt: "+id+"\r\nX-Not-Run: 1\r\n"+w.extraHeader+"Content-Length: 0\r\n\r\n")
		return true
	case fails:
		writeText(c, "HTTP/1.1 500 Failed\r\n"+signedHeader+"Content-Length: 0\r\n\r\n")
		return true
	case drops:
		// Without lingering, closing resets the connection.
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case loses:
		return false
	case explains:
		writeText(c, "HTTP/1.1 400 Bad\r\n"+signedHeader+"Content-Length: "+strconv.Itoa(len(longExplanation))+"\r\n\r\n"+longExplanation)
		return true
	case vanishes:
		writeText(c, "HTTP/1.1 200 OK\r\n"+signedHeader+"Content-Type: text/event-stream\r\n\r\n")
		return false
	case waits:
		// The connection stays open until the peer closes it.
		_, _ = c.Read(make([]byte, 1))
		return false
	case ends:
		_ = w.listener.Close()
		return false
	case garbles:
		writeText(c, "these bytes are no answer\r\n\r\n")
		return false
	case floods, swells, rambles, announces:
		sendTooMuch(c, b, signedHeader)
		return false
	case sendsRaw:
		writeText(c, strings.ReplaceAll(w.raw, "$ID", id))
		return true
	case unsigned:
		writeText(c, "HTTP/1.1 200 OK\r\nX-Attempt: "+id+"\r\nContent-Length: 2\r\n\r\nno")
		return true
	case surplus:
		writeText(c, "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nX-Signature: other\r\nContent-Length: 5\r\n\r\nother")
	}
	if r.URL.Path == "/stream/" {
		return w.sendStream(c, r, signedHeader, b)
	}
	body := "answer to " + id
	if b == cuts || b == tears {
		writeText(c, "HTTP/1.1 200 OK\r\n"+signedHeader+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\nans")
		return false
	}
	writeText(c, "HTTP/1.1 200 OK\r\n"+signedHeader+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return true
}

// sendTooMuch sends more than any head or body may take, or announces it.
func sendTooMuch(c net.Conn, b behaviour, signedHeader string) {
	if b == announces {
		writeText(c, "HTTP/1.1 200 OK\r\n"+signedHeader+"Content-Length: 1000000000000\r\n\r\n")
		// The connection stays open until the peer closes it.
		_, _ = c.Read(make([]byte, 1))
		return
	}
	if b != floods {
		writeText(c, "HTTP/1.1 200 OK\r\n"+signedHeader+"\r\n")
	}
	size := 8 << 20
	if b == swells {
		size = 64 << 20
	}
	writeText(c, strings.Repeat("x", size))
}

// sendStream sends the events after the last one that the caller has.
func (w *fakeWorker) sendStream(c net.Conn, r *http.Request, signedHeader string, b behaviour) bool {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	writeText(c, "HTTP/1.1 200 OK\r\n"+signedHeader+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := first; i <= fakeEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		if i == first+2 {
			switch b {
			case cuts:
				return false
			case tears:
				writeChunk(c, event[:len(event)/2])
				return false
			case stalls:
				// The connection stays open until the peer closes it.
				_, _ = c.Read(make([]byte, 1))
				return false
			}
		}
		writeChunk(c, event)
	}
	if b == losesEnd {
		return false
	}
	writeText(c, "0\r\n\r\n")
	return true
}

func writeChunk(c net.Conn, data string) { writeText(c, fmt.Sprintf("%x\r\n%s\r\n", len(data), data)) }

func writeText(c net.Conn, data string) {
	// The error is ignored, because the next read detects a closed connection.
	_, _ = io.WriteString(c, data)
}

// testProxy is a proxy for fake workers.
type testProxy struct {
	*Proxy
	inventory   *fleet.Inventory
	confirmedAt time.Time
	shutdown    *Shutdown
	// peers are the other daemons. isCut reports whether connections to workers are refused.
	peers atomic.Pointer[[]Peer]
	isCut atomic.Bool
}

func (p *testProxy) currentPeers() []Peer {
	if all := p.peers.Load(); all != nil {
		return *all
	}
	return nil
}

func (p *testProxy) dialWorker(ctx context.Context, network, address string) (net.Conn, error) {
	if p.isCut.Load() {
		return refuseDial(ctx, network, address)
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

func (w *fakeWorker) entry() *fleet.Worker {
	return &fleet.Worker{ID: w.id, Service: "plain", Address: w.listener.Addr().String(), Slots: 4}
}

// modelEntry returns an inventory entry with the worker as the head of an open replica.
func (w *fakeWorker) modelEntry() *fleet.Worker {
	return &fleet.Worker{
		ID: w.id, Service: "models", Address: w.listener.Addr().String(), Domain: "d", Slots: 4, Loaded: "m",
		Member: fleet.Membership{Group: w.id, Epoch: 1, State: fleet.Open},
	}
}

func testConfig() *fleet.Config {
	plain := []fleet.Target{{Service: "plain", Weight: 1}}
	models := []fleet.Target{{Service: "models", Weight: 1}}
	return fleet.NewConfig(fleet.Parts{
		Version: 7,
		Routes: []*fleet.Route{
			{Host: "h", Prefix: "/once/", Kind: fleet.NonIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Targets: plain},
			{Host: "h", Prefix: "/safe/", Kind: fleet.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Targets: plain},
			{Host: "h", Prefix: "/stream/", Kind: fleet.Stream, Timeout: 5 * time.Second, MaxAttempts: 3, Resumable: true, Targets: models},
			{Host: "h", Prefix: "/open/", Kind: fleet.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 1, Public: true, Targets: plain},
		},
		Services: []*fleet.Service{
			{Name: "plain"},
			{Name: "models", Engine: &fleet.Engine{Slots: 4, PrefillPerSecond: 1000}},
		},
		Keys: map[string]*fleet.Tenant{"key": {Name: "tenant"}},
	})
}
