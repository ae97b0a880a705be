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
func (p *Proxy) setCallerDeadlines(controller *http.ResponseController, arrived time.Time, timeout time.Duration) {
	body, answer := arrived.Add(defaultBodyTimeout), arrived.Add(defaultTimeout)
	if timeout > 0 {
		body, answer = arrived.Add(timeout), arrived.Add(timeout+answerReadGrace)
	}
	p.logDeadlineError("send", controller.SetReadDeadline(body))
	p.logDeadlineError("read", controller.SetWriteDeadline(answer))
}

// clearReadDeadline removes the read deadline after the body was read. Later reads only detect that
// the caller has disconnected.
func (p *Proxy) clearReadDeadline(controller *http.ResponseController) {
	p.logDeadlineError("send", controller.SetReadDeadline(time.Time{}))
}

func (p *Proxy) logDeadlineError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		p.opts.Logger.Debug("failed to set a deadline for the caller", "to", what, "error", err)
	}
}
