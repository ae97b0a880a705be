package operatorcmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// writeLog writes a log whose last line is truncated, and returns its path.
func writeLog(t *testing.T) string {
	t.Helper()
	const text = `{"@message":"started","@timestamp":"2026-01-02T03:04:00Z"}
  1.25 daemon-1 {"@message":"request refused","@timestamp":"2026-01-02T03:04:01Z","model":"m","reason":"overloaded"}
{"@message":"request refused","@timestamp":"2026-01-02T03:04:01Z","reason":"isolated"}
{"@message":"stream late","@timestamp":"2026-01-02T03:04:02Z","model":"m","reason":"late_first"}
{"@message":"stream late","@timestamp":"2026-01-02T03:04:02Z","model":"m","reason":"late_first"}
{"@message":"stream resumes","@timestamp":"2026-01-02T03:04:02Z","from":"m-rx1@7","error":"exchange with worker: the replica fell silent"}
{"@message":"replica dissolved","@timestamp":"2026-01-02T03:04:03Z","replica":"m-rx1@7"}
{"@message":"replicas","@timestamp":"2026-01-02T03:04:05Z","model":"m","want":3.5,"have":2,"work":41.5,"idle_workers":4}
some other text
{"@message":"replicas","@timestamp":"2026-01-0`
	path := filepath.Join(t.TempDir(), "daemon.log")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestReport(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, (&reportCommand{Logs: []string{writeLog(t)}, JSON: true}).Run(&environment{stdout: &out}))
	var got report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got))
	assert.DeepEqual(t, got.Refused, map[string]map[string]int{"m": {"overloaded": 1}, noModel: {"isolated": 1}})
	assert.DeepEqual(t, got.Late, map[string]map[string]int{"m": {"late_first": 2}})
	assert.DeepEqual(t, got.Moved, map[string]map[string]int{"m": {"the replica fell silent": 1}})
	assert.DeepEqual(t, got.Decisions, map[string]int{"replica dissolved": 1})
	assert.Equal(t, len(got.Replicas), 1)
	assert.Equal(t, got.Replicas[0].Have, 2)
	assert.Equal(t, got.Unread, 1, "the line that was cut")
	assert.Equal(t, got.To.Sub(got.From).Seconds(), 5.0)
}

func TestReportAsText(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, (&reportCommand{Logs: []string{writeLog(t)}}).Run(&environment{stdout: &out}))
	for _, want := range []string{"late_first", "the replica fell silent", "replica dissolved", "1 lines were not understood"} {
		assert.Assert(t, bytes.Contains(out.Bytes(), []byte(want)), "%s is missing in\n%s", want, out.String())
	}
}

func TestReportOfNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "empty.log")
	assert.NilError(t, os.WriteFile(path, []byte("no log\n"), 0o600))
	err := (&reportCommand{Logs: []string{path}}).Run(&environment{stdout: &bytes.Buffer{}})
	assert.ErrorContains(t, err, "no line of a daemon")
}
