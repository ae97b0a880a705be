package relay

import (
	"context"
	"net/http"
	"time"

	"quartzshelf.dev/fleet"
)

// sendTo sends an attempt to a worker, and takes what the worker says of itself in the head
// of its answer.
func (r *Relay) sendTo(ctx context.Context, c *request, worker *fleet.Worker, lastEvent string) (*exchange, error) {
	sent := time.Now()
	e, err := r.upstream.send(ctx, worker, r.messageFor(c, worker, lastEvent))
	if err != nil {
		return nil, err
	}
	r.readSignal(worker, e.response, sent)
	return e, nil
}

// readSignal takes what a worker says of itself in the head of an answer. One that another worker
// gave at its address says nothing of it.
func (r *Relay) readSignal(worker *fleet.Worker, answer *http.Response, sent time.Time) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	signed := answer.Header.Get(r.opts.Names.Signature) != ""
	signal, err := r.opts.Names.Asks.Read(answer, signed)
	if err != nil {
		r.opts.Meter.Signal("unclear")
		r.opts.Logger.Debug("a worker's word about itself not understood", "worker", worker.ID, "error", err)
	}
	if r.opts.Signalled != nil {
		r.opts.Signalled(worker, signal, sent, time.Now())
	}
}
