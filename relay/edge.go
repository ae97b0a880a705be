package relay

import (
	"errors"
	"net/http"
	"time"
)

// unreadFor is how long after a request's time is up its caller may take to read the answer,
// and bodyFor how long it may take to send the body of a request without a time.
const (
	unreadFor = 5 * time.Second
	bodyFor   = time.Minute
)

// boundCaller bounds how long a caller may hold its connection by not sending or not reading.
func (r *Relay) boundCaller(edge *http.ResponseController, arrived time.Time, timeout time.Duration) {
	body, answer := arrived.Add(bodyFor), arrived.Add(defaultTimeout)
	if timeout > 0 {
		body, answer = arrived.Add(timeout), arrived.Add(timeout+unreadFor)
	}
	r.tellUnbounded("send", edge.SetReadDeadline(body))
	r.tellUnbounded("read", edge.SetWriteDeadline(answer))
}

// bodyRead ends the bound on sending: what is read from now on only tells that the caller
// has gone.
func (r *Relay) bodyRead(edge *http.ResponseController) {
	r.tellUnbounded("send", edge.SetReadDeadline(time.Time{}))
}

func (r *Relay) tellUnbounded(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		r.opts.Logger.Debug("caller not bounded", "to", what, "error", err)
	}
}
