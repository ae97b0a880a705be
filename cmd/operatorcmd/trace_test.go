package operatorcmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const routerLog = `{"@level":"info","@message":"stream resumes","@module":"quartzshelf.relay","@timestamp":"2026-08-04T08:02:51.100Z","after_event":"20","error":"quartzshelf.remote: {peer: i-1, step: exchange with worker}, cause: the replica fell silent","from":"m-r1@1","request":"abc"}
{"@level":"info","@message":"request refused","@module":"quartzshelf.relay","@timestamp":"2026-08-04T08:02:51.500Z","reason":"overloaded","request":"other"}
not a line of ours
`

const leaderLog = `   3.2 front-1 {"@level":"warn","@message":"worker does not answer","@module":"quartzshelf.formation","@timestamp":"2026-08-04T08:02:51.600Z","replica":"m-r1@1","worker":"i-2"}
{"@level":"info","@message":"replica dissolved","@module":"quartzshelf.formation","@timestamp":"2026-08-04T08:02:51.700Z","head":"i-1","replica":"m-r1@1"}
{"@level":"info","@message":"replica opened","@module":"quartzshelf.formation","@timestamp":"2026-08-04T08:01:00.000Z","head":"i-1","replica":"m-r1@1"}
`

func TestTrace(t *testing.T) {
	router, leader := filepath.Join(t.TempDir(), "router.log"), filepath.Join(t.TempDir(), "leader.log")
	assert.NilError(t, os.WriteFile(router, []byte(routerLog), 0o600))
	assert.NilError(t, os.WriteFile(leader, []byte(leaderLog), 0o600))
	var out, errors bytes.Buffer
	code := Run([]string{"trace", "abc", "--logs", router, "--logs", leader}, &out, &errors)
	assert.Equal(t, code, exitOK, "%s", errors.String())
	want := `   +0.000s router.log               stream resumes {"after_event":"20","error":"quartzshelf.remote: {peer: i-1, step: exchange with worker}, cause: the replica fell silent","from":"m-r1@1","request":"abc"}
   +0.500s leader.log               worker does not answer {"replica":"m-r1@1","worker":"i-2"}
   +0.600s leader.log               replica dissolved {"head":"i-1","replica":"m-r1@1"}
belief that was wrong: that i-2, a member of m-r1@1, lived
`
	assert.Equal(t, out.String(), want)
	out.Reset()
	assert.Equal(t, Run([]string{"trace", "i-2", "--logs", leader}, &out, &errors), exitOK)
	assert.Equal(t, Run([]string{"trace", "unknown", "--logs", leader}, &out, &errors), exitUsage)
}
