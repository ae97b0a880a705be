package soak

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/platform/standin"
)

// signedResponse returns a response that carries a worker's signature for the request id.
func signedResponse(id string, status int, body string) *http.Response {
	return &http.Response{
		StatusCode: status, Body: io.NopCloser(strings.NewReader(body)),
		Header: http.Header{standin.HeaderSignature: {standin.ResponseSignature("w", id)}},
	}
}

func streamBody(id string, numbers ...int) string {
	const count = 3
	var all strings.Builder
	for _, n := range numbers {
		all.WriteString(standin.FormatEvent(id, n, count))
	}
	return all.String()
}

// TestCallerDetectsViolations checks that a caller records the right violation for each incorrect
// response, and none for a correct one.
func TestCallerDetectsViolations(t *testing.T) {
	whole, stream := standin.Kind(standin.Repeatable), standin.Stream
	tests := map[string]struct {
		kind           standin.Kind
		usesAddedRoute bool
		response       *http.Response
		prepare        func(r *run)
		want           string
	}{
		"a whole answer":            {kind: whole, response: signedResponse("q", 200, standin.ResponseBody("q"))},
		"another's answer":          {kind: whole, response: signedResponse("q", 200, standin.ResponseBody("p")), want: "MIXED"},
		"another's signature":       {kind: whole, response: signedResponse("p", 200, standin.ResponseBody("q")), want: "MIXED"},
		"a whole stream":            {kind: stream, response: signedResponse("q", 200, streamBody("q", 1, 2, 3))},
		"a stream that ends early":  {kind: stream, response: signedResponse("q", 200, streamBody("q", 1, 2)), want: "ORDER"},
		"an event twice":            {kind: stream, response: signedResponse("q", 200, streamBody("q", 1, 2, 2, 3)), want: "ORDER"},
		"an event is missing":       {kind: stream, response: signedResponse("q", 200, streamBody("q", 1, 3)), want: "ORDER"},
		"an event of another":       {kind: stream, response: signedResponse("q", 200, streamBody("q", 1)+streamBody("p", 2, 3)), want: "ORDER"},
		"refused and not run":       {kind: whole, response: signedResponse("q", 503, "")},
		"refused and run":           {kind: whole, response: signedResponse("q", 503, ""), prepare: func(r *run) { r.ledger.RecordRun("q", "t", "w") }, want: "REFUSED"},
		"no route though it is":     {kind: whole, response: signedResponse("q", 404, ""), want: "DENIED"},
		"a route not known yet":     {kind: whole, usesAddedRoute: true, response: signedResponse("q", 404, "")},
		"a route no longer known":   {kind: whole, usesAddedRoute: true, response: signedResponse("q", 404, ""), prepare: recordRouteServedEarlier, want: "CONFIG"},
		"no key though it is":       {kind: whole, response: signedResponse("q", 401, ""), want: "DENIED"},
		"a key that was taken away": {kind: whole, response: signedResponse("q", 401, ""), prepare: func(r *run) { r.callers.recordRevocation("key", time.Now()) }},
		"a key taken away long ago": {
			kind: whole, response: signedResponse("q", 200, standin.ResponseBody("q")), want: "REVOKED",
			prepare: func(r *run) { r.callers.recordRevocation("key", time.Now().Add(-time.Minute)) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &run{ledger: standin.NewLedger(), callers: newCallerState(), daemons: []*daemon{{incarnation: 1}}}
			r.ledger.RecordSent("q", test.kind, "t", standin.Sender{})
			if test.prepare != nil {
				test.prepare(r)
			}
			c := &caller{run: r}
			c.checkResponse(&call{id: "q", kind: test.kind, usesAddedRoute: test.usesAddedRoute, requestSize: requestSize{eventCount: 3}, apiKey: "key", daemon: r.daemons[0], incarnation: 1, sentAt: time.Now()}, test.response)
			r.checkAtEnd()
			var got []string
			for _, v := range r.ledger.Violations() {
				got = append(got, v.Rule)
			}
			if test.want == "" {
				assert.Equal(t, len(got), 0, "%v", r.ledger.Violations())
				return
			}
			assert.Assert(t, slices.Contains(got, test.want), "%v", r.ledger.Violations())
		})
	}
}

func recordRouteServedEarlier(r *run) {
	r.callers.recordRouteServed(r.daemons[0], 1)
	r.callers.routeServedSince[incarnationName(r.daemons[0], 1)] = time.Now().Add(-time.Second)
}

func TestScheduleDependsOnlyOnSeed(t *testing.T) {
	first, again := schedule(7, 1, time.Minute), schedule(7, 1, time.Minute)
	assert.Equal(t, len(first), len(again))
	for i := range first {
		assert.Equal(t, first[i], again[i])
	}
	drawn := make(map[string]bool)
	for seed := range uint64(50) {
		for _, s := range schedule(seed, 0, time.Minute) {
			drawn[s.name] = true
		}
	}
	assert.Equal(t, len(drawn), len(faults), "every kind of fault is drawn")
}
