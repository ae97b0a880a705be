package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
)

// TestEndingDaemonAnswersWhereItCan guards against requests whose connections close without a word when the
// daemon ends.
func TestEndingDaemonAnswersWhereItCan(t *testing.T) {
	tests := map[string]struct {
		path     string
		script   []behaviour
		status   int
		isBroken bool
	}{
		"no answer yet":         {path: "/safe/", script: []behaviour{waits}, status: http.StatusBadGateway},
		"must not run again":    {path: "/once/", script: []behaviour{waits}, status: http.StatusBadGateway},
		"a stream not begun":    {path: "/stream/", script: []behaviour{waits}, status: http.StatusBadGateway},
		"within its two events": {path: "/stream/", script: []behaviour{stalls}, status: http.StatusOK, isBroken: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", test.script...)
			r, server := newTestProxy(t, w)
			answers := make(chan answerSeen, 1)
			go func() { answers <- sendRequest(t, server, test.path, "a", nil) }()
			for w.runs("a") == 0 || test.isBroken && r.waitingStreams.count() > 0 {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, r.EndRequests(), 1)
			got := <-answers
			assert.Equal(t, got.isComplete, !test.isBroken)
			assert.Equal(t, r.opts.Meter.Refusals()[reason.Stopping], int64(1))
			if !test.isBroken {
				assert.Equal(t, got.status, test.status)
				assert.Assert(t, strings.Contains(got.body, string(reason.Stopping)), got.body)
			}
		})
	}
}
