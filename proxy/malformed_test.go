package proxy

import (
	"fmt"
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

// TestMalformedFieldNameReachesNoCaller guards against passing on answers that have a blank or a control byte in
// the name of a field, or bodies that such a field frames.
func TestMalformedFieldNameReachesNoCaller(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + signedFields
		body    = "Content-Length: 3\r\n\r\nodd"
		chunks  = "2\r\nod\r\n1\r\nd\r\n0\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n" + chunks
		interim = "HTTP/1.1 103 Early Hints\r\n"
	)
	tests := map[string]string{
		"a blank before the colon of the length":    head + "Content-Length : 3\r\n\r\nodd",
		"a blank before the colon of the coding":    head + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"a tab before the colon":                    head + "Odd\t: a\r\n" + body,
		"a blank within a name":                     head + "Odd Field: a\r\n" + body,
		"a control byte within a name":              head + "Odd\x01Field: a\r\n" + body,
		"a zero byte within a name":                 head + "Odd\x00: a\r\n" + body,
		"a carriage return within a name":           head + "Odd\rField: a\r\n" + body,
		"a delete byte within a name":               head + "Odd\x7f: a\r\n" + body,
		"no name":                                   head + ": a\r\n" + body,
		"a blank before the first name":             "HTTP/1.1 200 OK\r\n Odd: a\r\n" + signedFields + body,
		"a blank in a name of an interim answer":    interim + "Odd Field: a\r\n\r\n" + head + body,
		"a control byte in an interim answer":       interim + "Odd\x01: a\r\n\r\n" + head + body,
		"a blank in a name of a trailer":            chunked + "Odd Field: a\r\n\r\n",
		"a control byte in a name of a trailer":     chunked + "Odd\x01: a\r\n\r\n",
		"a blank in a name of a late answer's head": "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length : 3\r\n\r\nodd" + smuggledAnswer,
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) { checkMalformedAnswer(t, sent) })
	}
}

// TestMalformedTrailerOfAStream: the events before a malformed trailer are whole, so another worker only has to
// end the stream.
func TestMalformedTrailerOfAStream(t *testing.T) {
	w := newFakeWorker(t, "w1", sendsRaw)
	events := wholeStream()
	w.raw = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nOdd Field: a\r\n\r\n", signedFields, len(events), events)
	_, server := newTestProxy(t, w, workerAtSameAddress(w, "w2"))
	got := sendRequest(t, server, "/stream/", "a", nil)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, events)
	assert.Assert(t, got.isComplete)
	assert.Equal(t, w.runs("a"), 2)
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
