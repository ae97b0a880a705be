package relay

import (
	"errors"
	"net/http"
	"time"
)

// unreadFor is how long after a request's time is up its caller may take to read the answer,
// and bodyFor how long it may take to send the body of a request without a time.
const (
	answerReadGrace    = 5 * time.Second
	defaultBodyTimeout = time.Minute
)

// setCallerDeadlines bounds how long a caller may hold its connection by not sending or not reading.
func (r *Relay) setCallerDeadlines(controller *http.ResponseController, arrived time.Time, timeout time.Duration) {
	body, answer := arrived.Add(defaultBodyTimeout), arrived.Add(defaultTimeout)
	if timeout > 0 {
		body, answer = arrived.Add(timeout), arrived.Add(timeout+answerReadGrace)
	}
	r.logDeadlineError("send", controller.SetReadDeadline(body))
	r.logDeadlineError("read", controller.SetWriteDeadline(answer))
}

// clearReadDeadline ends the bound on sending: what is read from now on only tells that the caller
// has gone.
func (r *Relay) clearReadDeadline(controller *http.ResponseController) {
	r.logDeadlineError("send", controller.SetReadDeadline(time.Time{}))
}

func (r *Relay) logDeadlineError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		r.opts.Logger.Debug("caller not bounded", "to", what, "error", err)
	}
}
