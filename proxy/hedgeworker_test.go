package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// scriptedWorker is a fake worker whose connections are handled by serve.
func scriptedWorker(t *testing.T, id string, serve func(c net.Conn, r *http.Request)) *fakeWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &fakeWorker{id: id, listener: l, runsByRequest: make(map[string]int)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					serve(c, r)
				}
			}()
		}
	}()
	return w
}

// TestPartOfAnEventDoesNotWin: a worker pauses for 0.8 s and goes on. Its hedge sends half an event and then
// nothing. The stream must be served by the first worker.
func TestPartOfAnEventDoesNotWin(t *testing.T) {
	var count atomic.Int32
	serve := func(c net.Conn, r *http.Request) {
		nth := count.Add(1)
		writeText(c, "HTTP/1.1 200 OK\r\nX-Attempt: "+r.Header.Get(testNames.AttemptID)+"\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		if nth > 1 {
			writeChunk(c, "id: 3\nda")
			_, _ = c.Read(make([]byte, 1))
			return
		}
		for i := 1; i <= fakeEvents; i++ {
			if i == 3 {
				time.Sleep(800 * time.Millisecond)
			}
			writeChunk(c, fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i))
		}
		writeText(c, "0\r\n\r\n")
	}
	_, server := newTestProxy(t, scriptedWorker(t, "w1", serve), scriptedWorker(t, "w2", serve))
	got := sendRequest(t, server, "/stream/", "x", nil)
	assert.Assert(t, got.isComplete && got.body == wholeStream())
}

// TestUnframedHedgeEndsNoStream: a hedge whose worker ends the connection right after the header (no length, no chunks)
// must not end the answer of a first attempt that only pauses, least of all as complete.
func TestUnframedHedgeEndsNoStream(t *testing.T) {
	a, b := newFakeWorker(t, "w1"), newFakeWorker(t, "w2")
	_, server := newTestProxy(t, a, b)
	// The worker that gets the request first stalls, and the other one vanishes.
	a.script, b.script = []behaviour{stalls}, []behaviour{stalls}
	a.onRequest = func() { b.setScript(vanishes) }
	b.onRequest = func() { a.setScript(vanishes) }
	got := sendRequest(t, server, "/stream/", "x", nil)
	assert.Assert(t, !got.isComplete || got.body == wholeStream(), "an incomplete answer looks complete")
}

func (w *fakeWorker) setScript(script ...behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = script
}

// TestRejectionBesideSilentHedgeIsRetried: two attempts. The first worker, silent for 1.3 s, says that it did not run the
// request (as a head does whose group broke). The hedge's worker is dark. A third worker is sound and one attempt is left.
func TestRejectionBesideSilentHedgeIsRetried(t *testing.T) {
	var count atomic.Int32
	serve := func(c net.Conn, r *http.Request) {
		id := r.Header.Get(testNames.AttemptID)
		nth := count.Add(1)
		switch nth {
		case 1:
			time.Sleep(1300 * time.Millisecond)
			writeText(c, "HTTP/1.1 503 Full\r\nX-Attempt: "+id+"\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case 2:
			_, _ = c.Read(make([]byte, 1))
		default:
			writeText(c, "HTTP/1.1 200 OK\r\nX-Attempt: "+id+"\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
			for i := 1; i <= fakeEvents; i++ {
				writeChunk(c, fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i))
			}
			writeText(c, "0\r\n\r\n")
		}
	}
	p, server := newTestProxy(t, scriptedWorker(t, "w1", serve), scriptedWorker(t, "w2", serve), scriptedWorker(t, "w3", serve))
	models := []fleet.Target{{Service: "models", Weight: 1}}
	config := fleet.NewConfig(fleet.Parts{
		Version:  7,
		Routes:   []*fleet.Route{{Host: "h", Prefix: "/stream/", Kind: fleet.Stream, Timeout: 6 * time.Second, MaxAttempts: 2, Resumable: true, Targets: models}},
		Services: []*fleet.Service{{Name: "models", Engine: &fleet.Engine{Slots: 4, PrefillPerSecond: 1000}}},
		Keys:     map[string]*fleet.Tenant{"key": {Name: "tenant"}},
	})
	p.opts.Config = func() *fleet.Config { return config }
	got := sendRequest(t, server, "/stream/", "x", nil)
	assert.Assert(t, got.isComplete && got.body == wholeStream())
}

// TestFailureWithoutBodyHidesNoHedge: the first worker, silent for 1.1 s, sends the header of an error and then nothing.
// Its hedge, sent before, is sound and starts to answer at 1.3 s.
func TestFailureWithoutBodyHidesNoHedge(t *testing.T) {
	for name, header := range map[string]string{"an error": "HTTP/1.1 500 Failed\r\n", "a rejection": "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			var count atomic.Int32
			serve := func(c net.Conn, r *http.Request) {
				id := r.Header.Get(testNames.AttemptID)
				nth := count.Add(1)
				if nth == 1 {
					time.Sleep(1100 * time.Millisecond)
					writeText(c, header+"X-Attempt: "+id+"\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\n")
					_, _ = c.Read(make([]byte, 1))
					return
				}
				time.Sleep(400 * time.Millisecond)
				writeText(c, "HTTP/1.1 200 OK\r\nX-Attempt: "+id+"\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
				for i := 1; i <= fakeEvents; i++ {
					writeChunk(c, fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i))
				}
				writeText(c, "0\r\n\r\n")
			}
			_, server := newTestProxy(t, scriptedWorker(t, "w1", serve), scriptedWorker(t, "w2", serve))
			got := sendRequest(t, server, "/stream/", "x", nil)
			assert.Assert(t, got.isComplete && got.body == wholeStream())
		})
	}
}

// TestUnheardPeerEndsNoAnswer: a peer is not heard for a while (its heartbeats are lost), but it answers a request
// that must run once 0.4 s later. The answer must reach the caller.
func TestUnheardPeerEndsNoAnswer(t *testing.T) {
	var p *testProxy
	peer := scriptedWorker(t, "peer", func(c net.Conn, r *http.Request) {
		p.peers.Store(&[]Peer{})
		time.Sleep(400 * time.Millisecond)
		writeText(c, "HTTP/1.1 200 OK\r\nX-Attempt: "+r.Header.Get(testNames.AttemptID)+"\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok")
	})
	p2, server := newCutProxy(t, peerAt("peer", peer.listener))
	p = p2
	got := sendRequest(t, server, "/once/", "a", nil)
	assert.Equal(t, got.status, http.StatusOK)
}
