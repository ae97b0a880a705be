// Package backpressure tracks the load signals that workers send in their answers. A limit applies
// to the rate of requests from all daemons together, a rest period to a single daemon. A shutdown
// notice says that the worker is about to stop. The package does no I/O; callers pass in all times.
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
	// headerRetryAfter is the standard header by which a worker asks for a rest period. Its value
	// is in seconds.
	headerRetryAfter = "Retry-After"
	// maxLimit is the highest valid limit, in requests a second.
	maxLimit = 1e6
	// maxRest caps the rest period that a worker may ask for.
	maxRest = 10 * time.Minute
	// maxValueLength is the maximum length of a header value, in bytes.
	maxValueLength = 32
)

// ErrInvalidValue means that a worker's answer holds an invalid header value.
var ErrInvalidValue = errors.New("invalid header value")

// HeaderNames holds the names of the headers that carry the signals of workers.
type HeaderNames struct {
	// Limit carries the number of requests a second that the worker accepts from all daemons
	// together.
	Limit string
	// Leaving is set to 1 in the answers of a worker that is about to stop.
	Leaving string
}

// Signal is what a worker reports about itself in one answer.
type Signal struct {
	// Limited means that the worker reported a limit of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// Unlimited means that the answer holds no limit and is verified as the worker's own.
	Unlimited bool
	// Rest is how long this daemon should send the worker no requests; zero if the worker asked
	// for no rest period.
	Rest time.Duration
	// Leaving means that the worker is about to stop.
	Leaving bool
}

// Read returns the signal in the headers of an answer. If isSigned is set, the answer is verified
// as the worker's own. Invalid values are left out of the signal and reported as joined errors that
// wrap ErrInvalidValue.
func (n HeaderNames) Read(answer *http.Response, isSigned bool) (Signal, error) {
	var s Signal
	var invalid []error
	switch limit, ok, err := parseNumber(answer.Header, n.Limit, maxLimit); {
	case err != nil:
		invalid = append(invalid, err)
	case ok:
		s.Limited, s.PerSecond = true, limit
	default:
		s.Unlimited = isSigned
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		rest, _, err := parseNumber(answer.Header, headerRetryAfter, math.MaxFloat64)
		if err != nil {
			invalid = append(invalid, err)
		}
		s.Rest = time.Duration(min(rest, maxRest.Seconds()) * float64(time.Second))
	}
	s.Leaving = n.Leaving != "" && answer.Header.Get(n.Leaving) == "1"
	return s, errors.Join(invalid...)
}

// parseNumber returns the value of a header that holds one number from 0 to upper, and false if
// the header is missing.
func parseNumber(header http.Header, name string, upper float64) (value float64, ok bool, err error) {
	values := header.Values(name)
	if name == "" || len(values) == 0 {
		return 0, false, nil
	}
	if len(values) > 1 || len(values[0]) > maxValueLength {
		return 0, false, failure.Wrap(failure.Remote, "read header", name, ErrInvalidValue)
	}
	value, err = strconv.ParseFloat(values[0], 64)
	if err != nil || !(value >= 0 && value <= upper) {
		return 0, false, failure.Wrap(failure.Remote, "read header", name, ErrInvalidValue)
	}
	return value, true, nil
}
