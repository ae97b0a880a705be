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

// TestPublishLeavesNoMajority checks that a daemon may publish if and only if the daemons that it
// doesn't reach can't continue without it.
func TestPublishLeavesNoMajority(t *testing.T) {
	cases := map[string]struct {
		reached, members int
		mayPublish       bool
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
			assert.Equal(t, closed == nil, c.mayPublish)
			if closed != nil {
				assert.Equal(t, closed.Reason, reason.Isolated)
			}
			// By the rule in readiness.isConnected, the daemons that are not reached continue
			// without the log if they are more than one and more than half of all.
			unreached := c.members - c.reached
			othersContinue := unreached > 1 && 2*unreached > c.members
			assert.Equal(t, othersContinue, !c.mayPublish, "the others continue although a change is published")
		})
	}
}

// TestMinorityMayNotPublish gives a daemon two members that it can't reach, and checks that
// it refuses a change although it reaches the log. After one member has left, half of the
// members are reached and the change is accepted.
func TestMinorityMayNotPublish(t *testing.T) {
	d := startDaemon(t)
	defer d.Kill()
	_, operatorAddress := d.Addresses()
	publish := func() (int, string) {
		body := `{"changes":[{"operation":"put","document":{"kind":"DataHall","name":"hall-b"}}]}`
		response, err := http.Post("http://"+operatorAddress+"/api/changes/"+newID(), "application/json", strings.NewReader(body))
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

// TestExpectedMembers checks which daemons count for the majority while the log is
// unavailable.
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
		observations []observation
		want         int
		seenOthers   bool
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
			for _, l := range c.observations {
				e.update(l.members, l.logRead)
			}
			assert.Equal(t, e.count(), c.want)
			assert.Equal(t, e.seenOthers, c.seenOthers)
		})
	}
}

// TestReadinessWithoutLog makes the log unavailable to a daemon without peers. The daemon
// must continue to take requests only if there are no signs of other daemons.
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
			change: func(d *Daemon) {
				d.announcedDaemons.Apply(cluster.Record{}, []byte(`{"name":"entry-2","peer":"127.0.0.1:1"}`))
			},
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
