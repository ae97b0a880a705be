package operatorcmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/posener/complete"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/config"
	"quartzshelf.dev/daemon"
	"quartzshelf.dev/hall"
)

// fakeDaemon serves the operators' API for three data halls. Once hall-a is closing, each status
// request consumes one of the obstacles. The request after the last obstacle finds the hall
// empty, or open again if reopens is set.
type fakeDaemon struct {
	mu     sync.Mutex
	halls  []hall.Status
	object *daemon.ObjectRow
	// obstacles are reported one at a time while hall-a is closing.
	obstacles []string
	// reopens makes hall-a open again instead of becoming empty.
	reopens bool
	changes []config.ChangeSet
	problem string
}

func newFakeDaemon(t *testing.T) (*fakeDaemon, string) {
	t.Helper()
	f := &fakeDaemon{halls: []hall.Status{
		{Name: "hall-a", Region: "south", State: hall.Open, Nodes: 8, Replicas: 2, Daemons: 1, InFlight: 4},
		{Name: "hall-b", Region: "south", State: hall.Open, Nodes: 8},
		{Name: "hall-c", State: hall.Open, Daemons: 1},
	}}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return f, strings.TrimPrefix(server.URL, "http://")
}

// ServeHTTP implements http.Handler.
func (f *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reply any
	switch {
	case r.URL.Path == "/api/halls":
		f.advance()
		reply = f.halls
	case r.URL.Path == "/api/objects" && f.object != nil:
		reply = []daemon.ObjectRow{*f.object}
	case r.URL.Path == "/api/objects":
		reply = []daemon.ObjectRow{}
	default:
		reply = f.applyChange(r)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// advance moves hall-a one step further if it is closing.
func (f *fakeDaemon) advance() {
	a := &f.halls[0]
	switch {
	case a.State != hall.Closing:
	case len(f.obstacles) > 0:
		a.Obstacles, f.obstacles = f.obstacles[:1], f.obstacles[1:]
	case f.reopens:
		a.State, a.Obstacles, a.Revision = hall.Open, nil, a.Revision+1
	default:
		a.State, a.Obstacles, a.InFlight = hall.Empty, nil, 0
	}
}

func (f *fakeDaemon) applyChange(r *http.Request) daemon.ChangeReply {
	var set config.ChangeSet
	if err := json.NewDecoder(r.Body).Decode(&set); err != nil {
		panic(err)
	}
	f.changes = append(f.changes, set)
	if f.problem != "" {
		return daemon.ChangeReply{Verdict: config.Verdict{Problem: f.problem}}
	}
	f.halls[0].Revision = 7
	f.halls[0].State = hall.Open
	if strings.Contains(string(set.Changes[0].Document.Spec), `"closed":true`) {
		f.halls[0].State = hall.Closing
	}
	return daemon.ChangeReply{Verdict: config.Verdict{Accepted: true, Offset: 6, Objects: []string{"DataHall/hall-a"}}}
}

func TestHall(t *testing.T) {
	closeB := func(f *fakeDaemon) { f.halls[1].State = hall.Empty }
	cases := map[string]struct {
		args   []string
		change func(f *fakeDaemon)
		code   int
		out    []string
		errors string
		// spec is the published spec of the hall, or empty if nothing was published.
		spec string
	}{
		"list":         {args: []string{"list"}, out: []string{"DATA HALL", "hall-a     south   open", "hall-c"}},
		"list as JSON": {args: []string{"list", "-o", "json"}, out: []string{`"name": "hall-a"`, `"in_flight": 4`}},
		"list as YAML": {args: []string{"list", "-o", "yaml"}, out: []string{"- name: hall-a", "in_flight: 4"}},
		"close and wait": {
			args: []string{"close", "hall-a"}, change: func(f *fakeDaemon) { f.obstacles = []string{"4 requests are in flight"} },
			out: []string{"hall-a", "empty"}, spec: `{"closed":true}`,
			errors: "DataHall/hall-a applied at revision 7\nhall-a: 4 requests are in flight\nhall-a: empty\n",
		},
		"close as JSON": {
			args: []string{"close", "hall-a", "-o", "json"}, out: []string{`"state": "empty"`}, spec: `{"closed":true}`,
			errors: "DataHall/hall-a applied at revision 7\nhall-a: empty\n",
		},
		"close without waiting": {
			args: []string{"close", "hall-a", "--no-wait"}, spec: `{"closed":true}`,
			change: func(f *fakeDaemon) { f.obstacles = []string{"4 requests are in flight"} },
			out:    []string{"closing", "4 requests are in flight"},
			errors: "DataHall/hall-a applied at revision 7\n",
		},
		"close keeps the region": {
			args: []string{"close", "hall-a", "--no-wait"}, spec: `{"region":"south","closed":true}`,
			change: func(f *fakeDaemon) {
				f.object = &daemon.ObjectRow{Revision: 3, Document: config.Document{
					Kind: config.KindDataHall, Name: "hall-a", Spec: json.RawMessage(`{"region":"south"}`),
				}}
			},
			errors: "DataHall/hall-a applied at revision 7\n",
		},
		"not empty in time": {
			args: []string{"close", "hall-a", "--timeout", "100ms"}, code: exitOutcomeUnknown, spec: `{"closed":true}`,
			change: func(f *fakeDaemon) { f.obstacles = []string{"4 requests are in flight"} },
			errors: "DataHall/hall-a applied at revision 7\nhall-a: 4 requests are in flight\n" +
				"quartzshelf: the data hall is closed, but not known to be empty: 4 requests are in flight; look again with: quartzshelf hall list\n",
		},
		"opened meanwhile": {
			args: []string{"close", "hall-a"}, code: exitRefused, spec: `{"closed":true}`,
			change: func(f *fakeDaemon) { f.obstacles, f.reopens = []string{"4 requests are in flight"}, true },
			errors: "DataHall/hall-a applied at revision 7\nhall-a: 4 requests are in flight\n" +
				"quartzshelf: refused: data hall hall-a was opened meanwhile, in revision 8\n",
		},
		"closed already": {
			args: []string{"close", "hall-a"}, change: func(f *fakeDaemon) { f.halls[0].State, f.halls[0].Revision = hall.Empty, 5 },
			out: []string{"empty"}, errors: "hall-a: empty\n",
		},
		"the last open one": {
			args: []string{"close", "hall-a"}, change: closeB, code: exitRefused,
			errors: "quartzshelf: refused: closing hall-a leaves no data hall open: every request would be refused with hall_closed; --force closes it all the same\n",
		},
		"the last open one by force": {
			args: []string{"close", "hall-a", "--force", "--no-wait"}, change: closeB, spec: `{"closed":true}`,
			errors: "DataHall/hall-a applied at revision 7\n",
		},
		"unknown": {
			args: []string{"close", "hall-x"}, code: exitUsage,
			errors: "quartzshelf: data hall \"hall-x\" is not known; known data halls are hall-a, hall-b, hall-c\n",
		},
		"open an unknown one": {
			args: []string{"open", "hall-x"}, code: exitUsage,
			errors: "quartzshelf: data hall \"hall-x\" is not known; known data halls are hall-a, hall-b, hall-c\n",
		},
		"empty name": {
			args: []string{"close", ""}, code: exitUsage,
			errors: "quartzshelf: data hall \"\" is not known; known data halls are hall-a, hall-b, hall-c\n",
		},
		"no time to wait": {
			args: []string{"close", "hall-a", "--timeout=-1s"}, code: exitUsage,
			errors: "quartzshelf: --timeout must be above zero, not -1s\n",
		},
		"refused by the fold": {
			args: []string{"close", "hall-a"}, change: func(f *fakeDaemon) { f.problem = "was changed meanwhile" }, code: exitRefused,
			spec: `{"closed":true}`, errors: "quartzshelf: refused: was changed meanwhile\n",
		},
		"open": {
			args: []string{"open", "hall-a"}, change: func(f *fakeDaemon) { f.halls[0].State = hall.Empty }, spec: `{}`,
			out: []string{"hall-a", "open"}, errors: "DataHall/hall-a applied at revision 7\n",
		},
		"open already": {args: []string{"open", "hall-a"}, out: []string{"hall-a", "open"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, address := newFakeDaemon(t)
			if c.change != nil {
				c.change(f)
			}
			var out, errors bytes.Buffer
			code := Run(append([]string{"--daemon", address, "hall"}, c.args...), &out, &errors)
			assert.Equal(t, code, c.code, errors.String())
			assert.Equal(t, errors.String(), c.errors)
			for _, part := range c.out {
				assert.Assert(t, strings.Contains(out.String(), part), "%q is not in:\n%s", part, out.String())
			}
			spec := ""
			for _, set := range f.changes {
				spec += string(set.Changes[0].Document.Spec)
			}
			assert.Equal(t, spec, c.spec)
		})
	}
}

// TestHallIsEmptyWhenAllDaemonsSaySo polls two daemons. The first one reports the hall as empty. The
// second one may report another state or an older revision.
func TestHallIsEmptyWhenAllDaemonsSaySo(t *testing.T) {
	cases := map[string]struct {
		second hall.Status
		want   hall.State
	}{
		"both say so":             {hall.Status{Name: "hall-a", State: hall.Empty, Revision: 7}, hall.Empty},
		"one has calls in flight": {hall.Status{Name: "hall-a", State: hall.Closing, Revision: 7}, hall.Closing},
		"one does not know":       {hall.Status{Name: "hall-a", State: hall.Open, Revision: 2}, hall.Open},
		"one knows an older one":  {hall.Status{Name: "hall-a", State: hall.Empty, Revision: 2}, hall.Open},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first, address := newFakeDaemon(t)
			second, other := newFakeDaemon(t)
			first.halls[0] = hall.Status{Name: "hall-a", State: hall.Empty, Revision: 7}
			second.halls[0] = c.second
			second.obstacles = []string{"1 requests are in flight"}
			w := hallWait{env: &environment{client: newClient([]string{address, other})}, name: "hall-a"}
			got, err := w.pollDaemons()
			assert.NilError(t, err)
			assert.Equal(t, got.State, c.want)
		})
	}
}

func TestUnreachableDaemon(t *testing.T) {
	var out, errors bytes.Buffer
	code := Run([]string{"--daemon", "127.0.0.1:1", "hall", "list"}, &out, &errors)
	assert.Equal(t, code, exitUnreachable, errors.String())
}

func TestHallNamesAreCompleted(t *testing.T) {
	_, address := newFakeDaemon(t)
	t.Setenv("QUARTZSHELF_DAEMONS", address)
	assert.DeepEqual(t, predictHalls(complete.Args{}), []string{"hall-a", "hall-b", "hall-c"})
	t.Setenv("QUARTZSHELF_DAEMONS", "127.0.0.1:1")
	assert.Equal(t, len(predictHalls(complete.Args{})), 0)
}
