package operatorcmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/daemon"
	"quartzshelf.dev/hall"
)

// countingWriter counts the calls of Write.
type countingWriter struct {
	bytes.Buffer
	writes int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return w.Buffer.Write(p)
}

// TestStatusIsWrittenAtOnce checks that the status is written in a single call. Otherwise commands
// such as "status | grep -q", where the reader exits early, would fail with a broken pipe.
func TestStatusIsWrittenAtOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(daemon.Status{
			Daemon: "entry-1", Halls: []hall.Status{{Name: "hall-a", State: hall.Empty}},
			Replicas: []daemon.ReplicaRow{{Name: "chat-0", State: "in closed hall"}},
		})
	}))
	defer server.Close()
	var out countingWriter
	var errors bytes.Buffer
	code := Run([]string{"--daemon", strings.TrimPrefix(server.URL, "http://"), "status"}, &out, &errors)
	assert.Equal(t, code, exitOK, errors.String())
	assert.Equal(t, out.writes, 1)
	for _, part := range []string{"daemon entry-1", "chat-0", "in closed hall", "hall-a", "empty", "CALLERS' ADDRESS"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%q is not in:\n%s", part, out.String())
	}
}
