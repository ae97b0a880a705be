package proxy

import (
	"context"
	"net/http"
	"time"

	"quartzshelf.dev/fleet"
)

// sendTo sends an attempt to a worker, and processes the worker's signal in the answer's header.
func (p *Proxy) sendTo(ctx context.Context, worker *fleet.Worker, m *message) (*exchange, error) {
	sent := time.Now()
	e, err := p.upstream.send(ctx, worker, m)
	if err != nil {
		return nil, err
	}
	p.readSignal(worker, e.response, sent)
	return e, nil
}

// readSignal reports the limits and pauses that a worker sets in the header of an answer. An
// answer by another worker at its address is ignored.
func (p *Proxy) readSignal(worker *fleet.Worker, answer *http.Response, sent time.Time) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	isSigned := answer.Header.Get(p.opts.Names.Signature) != ""
	signal, err := p.opts.Names.Signals.Read(answer, isSigned)
	if err != nil {
		p.opts.Meter.CountWorkerSignal("unclear")
		p.opts.Logger.Debug("failed to read a worker's signal", "worker", worker.ID, "error", err)
	}
	if p.opts.OnSignal != nil {
		p.opts.OnSignal(worker, signal, sent, time.Now())
	}
}
