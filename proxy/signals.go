package proxy

import (
	"context"
	"net/http"
	"time"

	"quartzshelf.dev/fleet"
)

// sendTo sends an attempt to a worker, and processes the worker's signal in the answer's header.
func (r *Proxy) sendTo(ctx context.Context, c *request, worker *fleet.Worker, lastEvent string) (*exchange, error) {
	sent := time.Now()
	e, err := r.upstream.send(ctx, worker, r.messageFor(c, worker, lastEvent))
	if err != nil {
		return nil, err
	}
	r.readSignal(worker, e.response, sent)
	return e, nil
}

// readSignal reports the limits and pauses that a worker sets in the header of an answer. An
// answer by another worker at its address is ignored.
func (r *Proxy) readSignal(worker *fleet.Worker, answer *http.Response, sent time.Time) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	isSigned := answer.Header.Get(r.opts.Names.Signature) != ""
	signal, err := r.opts.Names.Signals.Read(answer, isSigned)
	if err != nil {
		r.opts.Meter.CountWorkerSignal("unclear")
		r.opts.Logger.Debug("failed to read a worker's signal", "worker", worker.ID, "error", err)
	}
	if r.opts.OnSignal != nil {
		r.opts.OnSignal(worker, signal, sent, time.Now())
	}
}
