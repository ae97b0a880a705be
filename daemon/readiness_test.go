package daemon

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/standin"
)

// TestOnlyMajorityMayPublish checks that of two parts of a fleet that do not reach each other,
// the one that publishes leaves no majority that goes on without it.
func TestOnlyMajorityMayPublish(t *testing.T) {
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
			closed := checkReached(c.reached, c.members)
			assert.Equal(t, closed == nil, c.may)
			if closed != nil {
				assert.Equal(t, closed.Reason, reason.Isolated)
			}
			// The rule by which the others go on (readiness.connected).
			unreached := c.members - c.reached
			othersContinue := unreached > 1 && 2*unreached > c.members
			assert.Equal(t, othersContinue, !c.may, "what is published leaves no majority behind")
		})
	}
}

// TestMinorityMayNotPublish makes a daemon believe in two others that it does not
// reach, while it still reaches the log.
func TestMinorityMayNotPublish(t *testing.T) {
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

// TestExpectedMembers checks who counts towards a majority while the log is out of reach.
func TestExpectedMembers(t *testing.T) {
	alive := func(ids ...string) []*rpc.Member {
		var all []*rpc.Member
		for _, id := range ids {
			all = append(all, &rpc.Member{Id: id})
		}
		return all
	}
	left := append(alive("a"), &rpc.Member{Id: "b", State: rpc.MemberState_LEFT}, &rpc.Member{Id: "c", State: rpc.MemberState_DEAD})
	type observation struct {
		members []*rpc.Member
		logRead bool
	}
	cases := map[string]struct {
		looks []observation
		want  int
		heard bool
	}{
		"alone":                         {[]observation{{alive("a"), true}, {alive("a"), false}}, 1, false},
		"the dead count when forgotten": {[]observation{{alive("a", "b", "c"), true}, {alive("a"), false}}, 3, true},
		"who left does not":             {[]observation{{alive("a", "b", "c"), true}, {left, false}, {alive("a"), false}}, 2, true},
		"new ones count":                {[]observation{{alive("a"), true}, {alive("a", "b"), false}, {alive("a"), false}}, 2, true},
		"the log was read again":        {[]observation{{alive("a", "b", "c"), true}, {alive("a"), false}, {alive("a"), true}}, 1, true},
		"who left and came again":       {[]observation{{left, false}, {alive("a", "b"), false}, {alive("a"), false}}, 3, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var e expectedMembers
			for _, l := range c.looks {
				e.update(l.members, l.logRead)
			}
			assert.Equal(t, e.count(), c.want)
			assert.Equal(t, e.seenOthers, c.heard)
		})
	}
}

// TestReadinessWithoutLog takes the log away from a daemon that reaches no other:
// it goes on only if it knows of none.
func TestReadinessWithoutLog(t *testing.T) {
	three := []*rpc.Member{{Id: "entry-1"}, {Id: "entry-2"}, {Id: "entry-3"}}
	cases := map[string]struct {
		settings string
		change   func(d *Daemon)
		want     reason.Reason
	}{
		"the only one": {settings: goodSettings},
		"seeds that never answered": {
			settings: goodSettings + "seeds: [127.0.0.1:1]\n", want: reason.Isolated,
		},
		"another that arrived once": {
			settings: goodSettings, want: reason.Isolated,
			change: func(d *Daemon) { d.arrivals.Apply(cluster.Record{}, []byte(`{"name":"entry-2","peer":"127.0.0.1:1"}`)) },
		},
		"others that look dead for long": {
			settings: goodSettings, want: reason.Isolated,
			change: func(d *Daemon) {
				d.readiness.mu.Lock()
				defer d.readiness.mu.Unlock()
				d.readiness.expected.update(three, false)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDaemonWith(t, c.settings)
			defer d.Kill()
			d.embedded.Log().SetFaults(standin.LogFaults{Outage: true})
			confirmed := d.followers[streamConfiguration].Confirmed
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if time.Since(confirmed()) < contactTimeout+time.Second {
					return poll.Continue("the log was read %v ago", time.Since(confirmed()))
				}
				return poll.Success()
			}, poll.WithTimeout(time.Minute))
			if c.change != nil {
				c.change(d)
			}
			got := reason.Reason("")
			if closed := d.readiness.checkReady(); closed != nil {
				got = closed.Reason
			}
			assert.Equal(t, got, c.want)
		})
	}
}
