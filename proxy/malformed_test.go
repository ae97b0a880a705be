package proxy

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Parts of answers that a worker sends. $ID stands for the request's ID.
const (
	signedFields   = "X-Attempt: $ID\r\nX-Signature: w\r\n"
	smuggledAnswer = "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length: 8\r\n\r\nsmuggled"
)

// TestMalformedStatusReachesNoCaller guards against passing on answers with a status such as 000.
func TestMalformedStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		statusLine := "HTTP/1.1 " + status + " Odd\r\n"
		t.Run(status, func(t *testing.T) {
			checkMalformedAnswer(t, statusLine+signedFields+"Content-Length: 3\r\n\r\nodd")
		})
		t.Run(status+" before another answer", func(t *testing.T) {
			checkMalformedAnswer(t, statusLine+"\r\n"+smuggledAnswer)
		})
	}
}

// checkMalformedAnswer checks that no caller gets what a worker sends: a request that may be repeated is
// answered by another worker, and the caller of any other one hears that it may have run.
func checkMalformedAnswer(t *testing.T, sent string) {
	t.Helper()
	tests := map[string]struct {
		path   string
		status int
		body   string
		runs   int
	}{
		"must run once":   {path: "/once/", status: http.StatusBadGateway, runs: 1},
		"has one attempt": {path: "/open/", status: http.StatusBadGateway, runs: 1},
		"may be repeated": {path: "/safe/", status: http.StatusOK, body: "answer to a", runs: 2},
		"a stream":        {path: "/stream/", status: http.StatusOK, body: wholeStream(), runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", sendsRaw)
			w.raw = sent
			_, server := newTestProxy(t, w, workerAtSameAddress(w, "w2"))
			got := sendRequest(t, server, test.path, "a", nil)
			assert.Equal(t, got.status, test.status, "%s", got.body)
			assert.Assert(t, got.isComplete)
			if test.body != "" {
				assert.Equal(t, got.body, test.body)
			}
			assert.Equal(t, w.runs("a"), test.runs)
		})
	}
}
