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
	"quartzshelf.dev/quarantine"
)

func TestQuarantineCommand(t *testing.T) {
	f := quarantine.FingerprintOf("a", "POST", "", "/", nil)
	lifted := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		row := daemon.QuarantineRow{Fingerprint: f, Workers: []string{"w0", "w1", "w2"}, Rounds: 2}
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/api/quarantine":
			_ = json.NewEncoder(w).Encode([]daemon.QuarantineRow{row})
		case r.Method == http.MethodDelete && r.URL.Path == "/api/quarantine/"+f.String():
			lifted = true
			_ = json.NewEncoder(w).Encode(row)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	run := func(args ...string) (int, string) {
		var out, problems bytes.Buffer
		args = append(args, "--daemon", strings.TrimPrefix(server.URL, "http://"))
		return Run(args, &out, &problems), out.String()
	}
	code, out := run("quarantine", "list")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, f.String()) && strings.Contains(out, "w0 w1 w2"), out)
	code, _ = run("quarantine", "lift", "none")
	assert.Assert(t, code != exitOK && !lifted)
	code, _ = run("quarantine", "lift", f.String())
	assert.Equal(t, code, exitOK)
	assert.Assert(t, lifted)
}
