package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"quartzshelf.dev/common/reason"
)

const (
	// retrySoon, retryLater and retryRevived are the times after which callers
	// are asked to come again: when it was chance, when the fleet is busy or
	// being mended, and when this daemon knows too little.
	retrySoon       = 50 * time.Millisecond
	retryBusy       = 300 * time.Millisecond
	retryUninformed = 500 * time.Millisecond
	// retryClosed is the same when an operator's word keeps all replicas out: it seldom
	// changes within a second.
	retryClosed = time.Second
)

// refusal is an answer of the system's own.
type refusal struct {
	status  int
	reason  reason.Reason
	message string
	// retryAfter is when to come back; zero for never. It is told only with
	// statuses that promise that the request did not run.
	retryAfter time.Duration
	// cause is the error that led here, if there was one.
	cause error
	// passedOver tells which reasons kept how many replicas out.
	passedOver string
}

// promisesNotRun reports whether the refusal says that the request did not run.
func (f *refusal) promisesNotRun() bool {
	return f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests
}

func refuse(status int, why reason.Reason, message string) *refusal {
	return &refusal{status: status, reason: why, message: message}
}

func unavailable(why reason.Reason, message string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: why, message: message, retryAfter: after}
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
	// A caller that has gone does not get it; there is nobody to tell.
	_, _ = w.Write(body)
}
