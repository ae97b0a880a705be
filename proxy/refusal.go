package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"quartzshelf.dev/common/reason"
)

const (
	// retrySoon is the retry time sent to callers after a transient failure. retryBusy is sent when
	// the fleet is busy or recovering, retryUninformed when this daemon lacks information.
	retrySoon       = 50 * time.Millisecond
	retryBusy       = 300 * time.Millisecond
	retryUninformed = 500 * time.Millisecond
	// retryNoDaemon is the retry time while no daemon is ready. Daemons that are replaced are back within a few
	// seconds.
	retryNoDaemon = 2 * time.Second
	// retryClosed is the retry time when an operator's setting excludes all replicas. Such settings
	// seldom change within a second.
	retryClosed = time.Second
)

// refusal is an answer made by the daemon itself.
type refusal struct {
	status  int
	reason  reason.Reason
	message string
	// retryAfter is how long the caller should wait before a retry; zero if the answer should not
	// say so. It is sent only with status codes that promise that the request did not run.
	retryAfter time.Duration
	// cause is the error that led to the refusal, if any.
	cause error
	// passedOver holds the counts of replicas passed over, by cause.
	passedOver string
}

// promisesNotRun reports whether the status tells the caller that the request did not run.
func (f *refusal) promisesNotRun() bool {
	return f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests
}

func newRefusal(status int, cause reason.Reason, message string) *refusal {
	return &refusal{status: status, reason: cause, message: message}
}

func newUnavailable(cause reason.Reason, message string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: cause, message: message, retryAfter: after}
}

type refusalBody struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// write sends the refusal.
func (f *refusal) write(w http.ResponseWriter) {
	body, err := json.Marshal(refusalBody{Reason: string(f.reason), Message: f.message})
	if err != nil {
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(f.status)
	// An error means that the caller has disconnected; nothing is left to do.
	_, _ = w.Write(body)
}
