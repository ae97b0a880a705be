package daemon

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/rpc"
)

// TestWhoMayPublish checks that of two parts of a fleet that do not reach each other,
// the one that publishes leaves no majority that goes on without it.
func TestWhoMayPublish(t *testing.T) {
	cases := map[string]struct {
		reached, members int
		may              bool
	}{
		"alone":                     {1, 1, true},
		"all":                       {3, 3, true},
		"one of three is away":      {2, 3, true},
		"two of three are away":     {1, 3, false},
		"one of two is away":        {1, 2, true},
		"half of four are away":     {2, 4, true},
		"most of four are away":     {1, 4, false},
		"a large fleet, cut in two": {484, 970, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			closed := tooFew(c.reached, c.members)
			assert.Equal(t, closed == nil, c.may)
			if closed != nil {
				assert.Equal(t, closed.Reason, reason.Isolated)
			}
			// The rule by which the others go on (readiness.connected).
			away := c.members - c.reached
			goesOn := away > 1 && 2*away > c.members
			assert.Equal(t, goesOn, !c.may, "what is published leaves no majority behind")
		})
	}
}

// TestMinorityDoesNotPublish makes a daemon believe in two others that it does not
// reach, while it still reaches the log.
func TestMinorityDoesNotPublish(t *testing.T) {
	d := startDaemon(t)
	defer d.Kill()
	_, operators := d.Addresses()
	publish := func() (int, string) {
		body := `{"changes":[{"operation":"put","document":{"kind":"DataHall","name":"hall-b"}}]}`
		response, err := http.Post("http://"+operators+"/api/changes/"+newID(), "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(text)
	}
	d.agent.Table().Merge([]*rpc.Member{
		{Id: "entry-2", Incarnation: 1, PeerAddress: "127.0.0.1:1"}, {Id: "entry-3", Incarnation: 1, PeerAddress: "127.0.0.1:1"},
	})
	code, text := publish()
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(text, "this daemon reaches 1 of 3 daemons"), text)
	assert.Assert(t, strings.Contains(text, `"settled":true`), text)
	d.agent.Table().Merge([]*rpc.Member{{Id: "entry-3", Incarnation: 1, PeerAddress: "127.0.0.1:1", State: rpc.MemberState_LEFT}})
	code, text = publish()
	assert.Equal(t, code, http.StatusOK, text)
}
