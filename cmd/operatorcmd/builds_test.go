package operatorcmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBuilds reads the logs of a fleet during an upgrade: a daemon with the earlier build, an
// upgraded one, and one that was upgraded and then rolled back. A fourth log shows no build and is
// left out.
func TestBuilds(t *testing.T) {
	const (
		oldBuildStarted = `{"@message":"started","@timestamp":"2026-12-01T10:00:00Z","node":"NODE"}`
		newBuildStarted = `{"@message":"started","@timestamp":"2026-12-01T10:05:00Z","node":"NODE","build":"0123456789ab","format":2}`
		formatInUse     = `{"@message":"the fleet acts by a version of the format","@timestamp":"2026-12-01T10:05:01Z","oldest":1,"before":0,"own":2}`
	)
	logs := map[string][]string{
		"a": {oldBuildStarted},
		"b": {oldBuildStarted, newBuildStarted, formatInUse},
		"c": {oldBuildStarted, newBuildStarted, formatInUse, oldBuildStarted},
		"d": {"no line", `{"@message":"leading"}`},
	}
	dir, files := t.TempDir(), []string(nil)
	for node, lines := range logs {
		file := filepath.Join(dir, node)
		text := strings.ReplaceAll(strings.Join(lines, "\n")+"\n", "NODE", node)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		files = append(files, file)
	}
	var out bytes.Buffer
	assert.NilError(t, (&buildsCommand{Logs: files}).Run(&environment{stdout: &out}))
	var rows []string
	for _, row := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		rows = append(rows, strings.Join(strings.Fields(row), " "))
	}
	assert.DeepEqual(t, rows, []string{
		"DAEMON BUILD FORMAT ACTS BY SINCE",
		"a unknown 1 1 2026-12-01T10:00:00Z",
		"b 0123456789ab 2 1 2026-12-01T10:05:00Z",
		"c unknown 1 1 2026-12-01T10:00:00Z",
	})
}
