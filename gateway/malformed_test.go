package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
)

// TestMalformedStatusReachesNoCaller guards against passing on answers with a status such as 000.
func TestMalformedStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkMalformedAnswer(t, "HTTP/1.1 "+status+" Odd\r\nContent-Type: text/event-stream\r\nContent-Length: 3\r\n\r\nodd")
		})
	}
}

// TestMalformedFieldNameReachesNoCaller guards against passing on bodies that are framed by a field whose name has
// a blank.
func TestMalformedFieldNameReachesNoCaller(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		body = "Content-Length: 3\r\n\r\nodd"
	)
	tests := map[string]string{
		"a blank before the colon of the length": head + "Content-Length : 3\r\nConnection: close\r\n\r\nodd, and more",
		"a blank within a name":                  head + "Odd Field: a\r\n" + body,
		"a control byte within a name":           head + "Odd\x01: a\r\n" + body,
		"a blank in a name of an interim answer": "HTTP/1.1 103 Early Hints\r\nOdd Field: a\r\n\r\n" + head + body,
		"a blank in a name of a trailer":         head + "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\nOdd Field: a\r\n\r\n",
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) { checkMalformedAnswer(t, sent) })
	}
}

// checkMalformedAnswer checks that no caller gets what an endpoint sends: a request that may be repeated is
// answered by another endpoint, and the caller of any other one hears that it may have run.
func checkMalformedAnswer(t *testing.T, sent string) {
	t.Helper()
	for name, streamed := range map[string]bool{"whole": false, "streamed": true} {
		body := fmt.Sprintf(`{"model":"chat","prompt":%q,"stream":%v}`, testPrompt, streamed)
		t.Run(name+", must run once", func(t *testing.T) {
			h := newHarness(t)
			sendRawOnce(h, sent)
			got, err := h.post(body, map[string]string{headerRepeatable: valueNo})
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusBadGateway, "%s", got.body)
			ran, why := got.refusal()
			assert.Equal(t, ran, reason.RanUnknown)
			assert.Equal(t, why, reason.EndpointBroken)
			assert.Equal(t, h.runCount(), 1)
		})
		t.Run(name+", may be repeated", func(t *testing.T) {
			h := newHarness(t)
			sendRawOnce(h, sent)
			got, err := h.post(body, nil)
			assert.NilError(t, err)
			checkWholeAnswer(t, got, streamed)
			assert.Equal(t, h.runCount(), 2)
		})
	}
}

// sendRawOnce makes the endpoint that gets the next request answer it with the given bytes.
func sendRawOnce(h *harness, raw string) {
	var once sync.Once
	for _, e := range h.endpoints {
		e.raw = raw
		e.onRequest = func() { once.Do(func() { e.setScript([]behaviour{sendsRaw}) }) }
	}
}

func checkWholeAnswer(t *testing.T, got receivedAnswer, streamed bool) {
	t.Helper()
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	text, isComplete := answerText(got.body), true
	if streamed {
		text, isComplete = streamText(got.body)
	}
	assert.Equal(t, text, wantText())
	assert.Assert(t, isComplete)
}
