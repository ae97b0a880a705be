// Package backpressure keeps what workers ask for in their answers: how many requests a
// second they take from all daemons together, for how long they want nothing from this one,
// and that they leave. It does no I/O, and all times are given to it.
package backpressure

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"quartzshelf.dev/common/failure"
)

const (
	// headerRetryAfter is the standard header by which a worker asks for rest, in seconds.
	headerRetryAfter = "Retry-After"
	// limitMost is the most requests a second that are taken for a limit.
	limitMost = 1e6
	// restMost is the longest rest that a worker gets, however long it asks for: one that
	// asks by mistake is asked again some time.
	restMost = 10 * time.Minute
	// valueMost bounds the length of a value, in bytes.
	valueMost = 32
)

// ErrUnclear tells that a worker's answer holds a value that says nothing.
var ErrUnclear = errors.New("the value says nothing")

// Names holds the names of the headers in which workers say what they ask for.
type Names struct {
	// Limit carries the requests a second that the worker takes from all daemons together.
	Limit string
	// Leaving marks the answers of a worker that ends soon.
	Leaving string
}

// Signal is what a worker says of itself in one answer.
type Signal struct {
	// Limited tells that the worker named a limit, PerSecond how many requests it takes.
	Limited   bool
	PerSecond float64
	// Unlimited tells that the answer is certainly the worker's and names no limit.
	Unlimited bool
	// Rest is for how long the worker wants nothing from this daemon; zero for no rest.
	Rest time.Duration
	// Leaving tells that the worker ends soon.
	Leaving bool
}

// Read returns what a worker says in the head of an answer, which is signed if it is
// certainly the worker's own. Values that say nothing are left out, with an error that
// wraps ErrUnclear for each.
func (n Names) Read(answer *http.Response, signed bool) (Signal, error) {
	var s Signal
	var unclear []error
	switch limit, ok, err := number(answer.Header, n.Limit, limitMost); {
	case err != nil:
		unclear = append(unclear, err)
	case ok:
		s.Limited, s.PerSecond = true, limit
	default:
		s.Unlimited = signed
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		rest, _, err := number(answer.Header, headerRetryAfter, math.MaxFloat64)
		if err != nil {
			unclear = append(unclear, err)
		}
		s.Rest = time.Duration(min(rest, restMost.Seconds()) * float64(time.Second))
	}
	s.Leaving = n.Leaving != "" && answer.Header.Get(n.Leaving) == "1"
	return s, errors.Join(unclear...)
}

// number returns the value of a header that holds one number from 0 to most, and false if
// there is no such header.
func number(header http.Header, name string, most float64) (value float64, ok bool, err error) {
	values := header.Values(name)
	if name == "" || len(values) == 0 {
		return 0, false, nil
	}
	if len(values) > 1 || len(values[0]) > valueMost {
		return 0, false, failure.At(failure.Remote, "read header", name, ErrUnclear)
	}
	value, err = strconv.ParseFloat(values[0], 64)
	if err != nil || !(value >= 0 && value <= most) {
		return 0, false, failure.At(failure.Remote, "read header", name, ErrUnclear)
	}
	return value, true, nil
}
