package backpressure

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testNames = HeaderNames{Limit: "X-Limit", Leaving: "X-Leaving"}

func TestRead(t *testing.T) {
	limits := func(values ...string) http.Header { return http.Header{"X-Limit": values} }
	rests := func(value string) http.Header { return http.Header{"Retry-After": {value}} }
	tests := map[string]struct {
		status  int
		header  http.Header
		want    Signal
		invalid bool
	}{
		"nothing":                    {status: 200, want: Signal{Unlimited: true}},
		"a limit":                    {status: 200, header: limits("1.6"), want: Signal{Limited: true, PerSecond: 1.6}},
		"a limit below one":          {status: 200, header: limits("0.25"), want: Signal{Limited: true, PerSecond: 0.25}},
		"a limit of zero":            {status: 200, header: limits("0"), want: Signal{Limited: true}},
		"a limit with a rejection":   {status: 503, header: limits("2"), want: Signal{Limited: true, PerSecond: 2}},
		"a negative limit":           {status: 200, header: limits("-1"), invalid: true},
		"a limit that is no number":  {status: 200, header: limits("NaN"), invalid: true},
		"an infinite limit":          {status: 200, header: limits("Inf"), invalid: true},
		"an absurd limit":            {status: 200, header: limits("1e9"), invalid: true},
		"two limits":                 {status: 200, header: limits("1", "2"), invalid: true},
		"a limit of 4 KB":            {status: 200, header: limits(strings.Repeat("1", 4<<10)), invalid: true},
		"an empty limit":             {status: 200, header: limits(""), invalid: true},
		"rest":                       {status: 503, header: rests("3"), want: Signal{Unlimited: true, Rest: 3 * time.Second}},
		"rest with a fraction":       {status: 503, header: rests("0.25"), want: Signal{Unlimited: true, Rest: 250 * time.Millisecond}},
		"rest of infinite length":    {status: 503, header: rests("1e300"), want: Signal{Unlimited: true, Rest: maxRest}},
		"negative rest":              {status: 503, header: rests("-3"), want: Signal{Unlimited: true}, invalid: true},
		"rest until a date":          {status: 503, header: rests("Fri, 04 Dec 2026 10:00:00 GMT"), want: Signal{Unlimited: true}, invalid: true},
		"a success with Retry-After": {status: 200, header: rests("3"), want: Signal{Unlimited: true}},
		"a caller's own limit, 429":  {status: 429, header: rests("3"), want: Signal{Unlimited: true}},
		"a shutdown notice":          {status: 200, header: http.Header{"X-Leaving": {"1"}}, want: Signal{Unlimited: true, Leaving: true}},
		"a shutdown notice of 0":     {status: 200, header: http.Header{"X-Leaving": {"0"}}, want: Signal{Unlimited: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := testNames.Read(&http.Response{StatusCode: test.status, Header: test.header}, true)
			assert.Equal(t, errors.Is(err, ErrInvalidValue), test.invalid)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestUnsignedAnswerKeepsLimit checks that an unsigned answer, which may not be the worker's, does
// not withdraw a limit.
func TestUnsignedAnswerKeepsLimit(t *testing.T) {
	got, err := testNames.Read(&http.Response{StatusCode: http.StatusOK}, false)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Signal{})
}

// TestReadWithoutHeaderNames checks that only Retry-After is read when no header names are set.
func TestReadWithoutHeaderNames(t *testing.T) {
	got, err := HeaderNames{}.Read(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"": {"1"}}}, true)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Signal{Unlimited: true})
}
