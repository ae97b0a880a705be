package kit

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of requests and answers (PROTOCOL.md).
const (
	HeaderAttempt   = "Quartzshelf-Attempt-Id"
	HeaderInstance  = "Quartzshelf-Expect-Instance"
	HeaderNotRun    = "Quartzshelf-Not-Executed"
	HeaderSignature = "Quartzshelf-Response-Signature"
	HeaderDeadline  = "Quartzshelf-Deadline-Ms"
	HeaderKey       = "Api-Key"
	HeaderID        = "Quartzshelf-Instance-Id"
)

// Worker is a worker of a plain service. It works on a request for workTime and answers it whole.
type Worker struct {
	ID, Service, Zone, Address string

	// Spoil, if set, is asked before each answer and may send something else over the connection; it
	// returns false to let the worker answer. It must be set before the worker's entry is used.
	Spoil func(w *Worker, attempt string, hijack func() (net.Conn, error)) bool

	workTime time.Duration
	// slots and queue hold a place for each request at work and for each that waits.
	slots, queue chan struct{}
	onRun        func(w *Worker, attempt string, at time.Time)
	store        *Store
	server       *http.Server

	mu sync.Mutex
	// leftAt is when the store took the worker's leaving (draining or gone); zero before.
	leftAt time.Time
}

// slotCount and queueLength are those of the site's plain service.
const (
	slotCount   = 6
	queueLength = 24
)

// StartWorker starts a worker on a free port and writes its entry to the store. onRun is called when
// the worker begins work on a request.
func StartWorker(store *Store, id, service, zone string, workTime time.Duration, onRun func(w *Worker, attempt string, at time.Time)) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), workTime: workTime, onRun: onRun, store: store,
		slots: make(chan struct{}, slotCount), queue: make(chan struct{}, slotCount+queueLength)}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	w.putEntry("ready")
	return w, nil
}

// putEntry writes the worker's entry and returns when the store took it.
func (w *Worker) putEntry(state string) time.Time {
	// Strings and numbers can always be encoded.
	entry, _ := json.Marshal(map[string]any{
		"backend": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": slotCount, "state": state, "cold_left_ms": 0, "seq": 1,
	})
	return w.store.Put(TopicWorkers, w.ID, entry)
}

// ServeHTTP runs a request, unless it is meant for another worker.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	arrived, attempt := time.Now(), r.Header.Get(HeaderAttempt)
	out.Header().Set(HeaderAttempt, attempt)
	if wanted := r.Header.Get(HeaderInstance); wanted != "" && wanted != w.ID {
		out.Header().Set(HeaderID, w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /api/report":
		writeJSON(out, http.StatusOK, map[string]any{"stage": "mixed", "models": []any{}, "busy": false, "seq": 0,
			"queued": max(len(w.queue)-len(w.slots), 0), "active": len(w.slots), "kv_used": 0, "kv_total": 0, "handles": 0})
		return
	case "POST /api/order":
		out.WriteHeader(http.StatusBadRequest)
		return
	case "GET /health":
		out.Header().Set(HeaderID, w.ID)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case w.queue <- struct{}{}:
		defer func() { <-w.queue }()
	default:
		out.Header().Set(HeaderNotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.slots <- struct{}{}
	w.onRun(w, attempt, arrived)
	time.Sleep(w.workTime)
	<-w.slots
	hijack := func() (net.Conn, error) {
		c, _, err := http.NewResponseController(out).Hijack()
		return c, err
	}
	if w.Spoil != nil && w.Spoil(w, attempt, hijack) {
		return
	}
	out.Header().Set(HeaderSignature, w.ID+"."+attempt)
	_, _ = io.WriteString(out, "answer to "+attempt)
}

// Leave lets the worker leave: it says "draining", or its entry goes without that. It serves on. Leave
// returns when the store took it.
func (w *Worker) Leave(saysDraining bool) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if saysDraining {
		w.leftAt = w.putEntry("draining")
	} else {
		w.leftAt = w.store.Put(TopicWorkers, w.ID, nil)
	}
	return w.leftAt
}

// LeftAt returns when the store took the worker's leaving; zero before.
func (w *Worker) LeftAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leftAt
}

// End ends the worker. Requests that it still works on get no answer.
func (w *Worker) End() {
	w.store.Put(TopicWorkers, w.ID, nil)
	_ = w.server.Close()
}
