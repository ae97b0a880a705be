package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
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

// TestAmbiguousFramingReachesNoCaller guards against bodies that another reader of the same answer would end
// elsewhere.
func TestAmbiguousFramingReachesNoCaller(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + signedFields
		coding  = "Transfer-Encoding: chunked\r\n"
		chunks  = "\r\n3\r\nodd\r\n0\r\n\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\n"
	)
	tests := map[string]string{
		"a length and a coding":         head + "Content-Length: 3\r\n" + coding + chunks,
		"a coding and a length":         head + coding + "content-LENGTH: 3\r\n" + chunks,
		"a coding twice":                head + coding + coding + chunks,
		"another coding":                head + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
		"no coding by name":             head + "Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nodd",
		"a coding in HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + signedFields + coding + "Connection: close\r\n" + chunks,
		"two lengths":                   head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nodd!",
		"a list of lengths":             head + "Content-Length: 3, 3\r\n\r\nodd",
		"a length with a sign":          head + "Content-Length: +3\r\n\r\nodd",
		"a length below zero":           head + "Content-Length: -3\r\n\r\nodd",
		"a length in another base":      head + "Content-Length: 0x3\r\n\r\nodd",
		"a length beyond an integer":    head + "Content-Length: 99999999999999999999\r\n\r\nodd",
		"no content with a body":        "HTTP/1.1 204 No Content\r\n" + signedFields + "Content-Length: 3\r\n\r\nodd",
		"no content with chunks":        "HTTP/1.1 204 No Content\r\n" + signedFields + coding + chunks,
		"an interim answer with a body": interim + "Content-Length: 90\r\n\r\n" + smuggledAnswer,
		"an interim one with chunks":    interim + coding + "\r\n" + smuggledAnswer,
		"an interim one after another":  interim + "\r\n" + interim + "Content-Length: 90\r\n\r\n" + smuggledAnswer,
		"after a late answer":           "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 2\r\n\r\nno" + head + "Content-Length: 3\r\n" + coding + chunks,
		"a size of a chunk with a sign": head + coding + "\r\n+3\r\nodd\r\n0\r\n\r\n",
		"a chunk longer than its size":  head + coding + "\r\n2\r\nodd\r\n0\r\n\r\n",
		"a size beyond an integer":      head + coding + "\r\n10000000000000003\r\nodd\r\n0\r\n\r\n",
		"another version":               "HTTP/2.0 200 OK\r\n" + signedFields + "Content-Length: 3\r\n\r\nodd",
		"no version":                    "HTTP/1 200 OK\r\n" + signedFields + "Content-Length: 3\r\n\r\nodd",
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) { checkMalformedAnswer(t, sent) })
	}
}

// TestSoundAnswersReachCallers: what is unusual but allowed, or lenient without a doubt about the body, is passed on.
func TestSoundAnswersReachCallers(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + signedFields
		body    = "Content-Length: 3\r\n\r\nyes"
		coding  = "Transfer-Encoding: chunked\r\n\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	)
	tests := map[string]string{
		"a length":                  head + body,
		"chunks":                    head + coding + "1\r\ny\r\n2\r\nes\r\n0\r\n\r\n",
		"chunks with extensions":    head + coding + "3;a=b\r\nyes\r\n0;c\r\n\r\n",
		"a trailer":                 head + coding + "3\r\nyes\r\n0\r\nField: a\r\n\r\n",
		"a coding in capitals":      head + "TRANSFER-ENCODING: CHUNKED\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
		"an earlier version":        "HTTP/1.0 200 OK\r\n" + signedFields + body,
		"interim answers":           interim + "HTTP/1.1 100 Continue\r\n\r\n" + head + body,
		"an unusual reason":         "HTTP/1.1 200 Transfer-Encoding: chunked\r\n" + signedFields + body,
		"no reason":                 "HTTP/1.1 200 \r\n" + signedFields + body,
		"no reason and no blank":    "HTTP/1.1 200\r\n" + signedFields + body,
		"a status of its own":       "HTTP/1.1 299 Odd\r\n" + signedFields + body,
		"names in any case":         "HTTP/1.1 200 OK\r\nx-attempt: $ID\r\nX-SIGNATURE: w\r\ncontent-length: 3\r\n\r\nyes",
		"blanks around a value":     head + "Field: \t a \t\r\n" + body,
		"an empty value":            head + "Field:\r\n" + body,
		"obsolete folding":          head + "Field: a\r\n\tTransfer-Encoding: chunked\r\n" + body,
		"bytes beyond ASCII":        head + "Field: \xe9\xff\r\n" + body,
		"bare line feeds":           "HTTP/1.1 200 OK\nX-Attempt: $ID\nX-Signature: w\nContent-Length: 3\n\nyes",
		"the same length twice":     head + "Content-Length: 3\r\n" + body,
		"all characters of a name":  head + "!#$%&'*+-.^_`|~09azAZ: a\r\n" + body,
		"after a late answer":       "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 2\r\n\r\nno" + head + body,
		"after a late one, chunked": "HTTP/1.1 200 OK\r\nX-Attempt: b\r\n" + coding + "2\r\nno\r\n0\r\n\r\n" + head + body,
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", sendsRaw)
			w.raw = sent
			_, server := newTestProxy(t, w)
			got := sendRequest(t, server, "/once/", "a", nil)
			assert.Equal(t, got.status/100, 2, "%s", got.body)
			assert.Equal(t, got.body, "yes")
			assert.Assert(t, got.isComplete)
		})
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

// TestMalformedAnswerIsSuspected: the worker that sent a malformed answer is asked last for a while, at all
// daemons, but still asked if there is no other.
func TestMalformedAnswerIsSuspected(t *testing.T) {
	faulty, sound := newFakeWorker(t, "faulty", sendsRaw), newFakeWorker(t, "sound")
	faulty.raw = "HTTP/1.1 000 Odd\r\n" + signedFields + "Content-Length: 3\r\n\r\nodd"
	p, server := newTestProxy(t, faulty, sound)
	log := &logBuffer{}
	p.opts.Logger = hclog.New(&hclog.LoggerOptions{Output: log, Level: hclog.Info})
	p.startedAt = time.Now().Add(-randomPairPeriod)
	preferOver(p, sound)
	got := sendRequest(t, server, "/safe/", "a", nil)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, log.count("malformed answer"), 1, log.String())
	assert.DeepEqual(t, p.opts.Tracker.suspectedHeads(time.Now()), map[string]bool{"faulty": true})

	alone, server := newTestProxy(t, faulty)
	alone.opts.Tracker = p.opts.Tracker
	got = sendRequest(t, server, "/once/", "b", nil)
	assert.Equal(t, got.status, http.StatusOK)
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
