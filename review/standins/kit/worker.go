package kit

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
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
)

// Worker is a worker of a plain service. It works on a request for workTime and answers it whole.
type Worker struct {
	ID, Service, Zone, Address string

	workTime time.Duration
	onRun    func(w *Worker, attempt string, at time.Time)
	store    *Store
	server   *http.Server

	mu sync.Mutex
	// goneAt is when the store took the removal of the entry; zero before.
	goneAt time.Time
}

// StartWorker starts a worker on a free port and writes its entry to the store. onRun is called when
// the worker begins work on a request.
func StartWorker(store *Store, id, service, zone string, workTime time.Duration, onRun func(w *Worker, attempt string, at time.Time)) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), workTime: workTime, onRun: onRun, store: store}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	entry, err := json.Marshal(map[string]any{
		"backend": service, "address": w.Address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1,
	})
	if err != nil {
		return nil, err
	}
	store.Put(TopicWorkers, id, entry)
	return w, nil
}

// ServeHTTP runs a request, unless it is meant for another worker.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(HeaderAttempt)
	out.Header().Set(HeaderAttempt, attempt)
	if wanted := r.Header.Get(HeaderInstance); wanted != "" && wanted != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/api/") {
		// A plain worker has no state to report and takes no orders.
		out.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.onRun(w, attempt, time.Now())
	time.Sleep(w.workTime)
	out.Header().Set(HeaderSignature, w.ID+"."+attempt)
	_, _ = io.WriteString(out, "answer to "+attempt)
}

// LeaveWithoutNotice removes the worker's entry without saying "draining" first, and lets the worker
// serve on. It returns when the store took that.
func (w *Worker) LeaveWithoutNotice() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.goneAt = w.store.Put(TopicWorkers, w.ID, nil)
	return w.goneAt
}

// GoneAt returns when the store took the removal of the entry; zero before.
func (w *Worker) GoneAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.goneAt
}

// End ends the worker. Requests that it still works on get no answer.
func (w *Worker) End() { _ = w.server.Close() }
