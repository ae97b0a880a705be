package proxy

import (
	"errors"
	"net/http"
	"time"
)

// answerReadGrace is how long after a request's timeout its caller may take to read the answer.
// defaultBodyTimeout is how long a caller may take to send the body if the route has no timeout.
const (
	answerReadGrace    = 5 * time.Second
	defaultBodyTimeout = time.Minute
)

// setCallerDeadlines sets the times by which the caller must have sent the body and read the
// answer.
func (r *Proxy) setCallerDeadlines(controller *http.ResponseController, arrived time.Time, timeout time.Duration) {
	body, answer := arrived.Add(defaultBodyTimeout), arrived.Add(defaultTimeout)
	if timeout > 0 {
		body, answer = arrived.Add(timeout), arrived.Add(timeout+answerReadGrace)
	}
	r.logDeadlineError("send", controller.SetReadDeadline(body))
	r.logDeadlineError("read", controller.SetWriteDeadline(answer))
}

// clearReadDeadline removes the read deadline after the body was read. Later reads only detect that
// the caller has disconnected.
func (r *Proxy) clearReadDeadline(controller *http.ResponseController) {
	r.logDeadlineError("send", controller.SetReadDeadline(time.Time{}))
}

func (r *Proxy) logDeadlineError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		r.opts.Logger.Debug("failed to set a deadline for the caller", "to", what, "error", err)
	}
}
