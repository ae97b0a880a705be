package gateway

import (
	"net/http"
	"time"

	"quartzshelf.dev/backpressure"
)

// recordRestPeriod records the rest period that an endpoint has asked for in its answer, if any.
// This daemon sends the endpoint no requests until the period ends. Nothing in the answers shows
// that an endpoint was restarted, so the period also applies after a restart.
func (g *Gateway) recordRestPeriod(endpoint string, answer *http.Response) {
	signal, err := backpressure.HeaderNames{}.Read(answer, false)
	if err != nil {
		g.opts.Meter.CountWorkerSignal("unclear")
		g.opts.Logger.Debug("invalid backpressure headers in an endpoint's answer", "endpoint", endpoint, "error", err)
	}
	now := time.Now()
	if signal.Rest <= 0 || !g.rests.Add(endpoint, 0, signal.Rest, now) {
		return
	}
	g.rests.Sweep(now)
	g.opts.Meter.CountWorkerSignal(string(backpressure.RestAsked))
	g.opts.Logger.Info("endpoint asked for a rest period", "endpoint", endpoint, "rest_ms", signal.Rest.Milliseconds())
}

func isResting(rests *backpressure.RestPeriods, endpoint string, now time.Time) bool {
	_, resting := rests.Until(endpoint, 0, now)
	return resting
}
