package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestCallerDisconnectIsDetected: the deadline for sending the body must neither hide a
// disconnected caller nor end the request once the body is read.
func TestCallerDisconnectIsDetected(t *testing.T) {
	const timeout = 300 * time.Millisecond
	tests := map[string]struct {
		callerStays bool
		want        bool
	}{
		"it leaves": {want: true},
		"it stays":  {callerStays: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Proxy{opts: Options{Logger: hclog.NewNullLogger()}}
			isGone := make(chan bool, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
				controller := http.NewResponseController(w)
				r.setCallerDeadlines(controller, time.Now(), timeout)
				_, _ = io.ReadAll(h.Body)
				r.clearReadDeadline(controller)
				select {
				case <-h.Context().Done():
					isGone <- true
				case <-time.After(3 * timeout):
					isGone <- false
				}
			}))
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			assert.NilError(t, err)
			if !test.callerStays {
				assert.NilError(t, c.Close())
			}
			assert.Equal(t, <-isGone, test.want)
		})
	}
}
