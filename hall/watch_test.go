package hall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/config"
	"quartzshelf.dev/rpc"
)

const serveWindow = 6 * time.Second

// fixture is a watch with a fleet of three daemons and one domain in each of two halls.
type fixture struct {
	state        *config.State
	catalog      *catalog.Catalog
	offset       int64
	reportNumber uint64
	reached      int
	inFlight     map[string]int
	load         uint32
	// stopsReporting means that the domains no longer report.
	stopsReporting bool
	log            bytes.Buffer
	watch          *Watch
	cancel         context.CancelFunc
}

func newFixture() *fixture {
	f := &fixture{state: config.NewState(), catalog: catalog.New(), reached: 3, inFlight: make(map[string]int)}
	f.watch = NewWatch(Options{
		Config: f.state.View, Catalog: f.catalog, ServeWindow: serveWindow,
		CountReached: func(time.Time) (int, int) { return f.reached, 3 },
		InFlight:     func(id string) int { return f.inFlight[id] },
		Daemons:      func() map[string]int { return map[string]int{"hall-c": 1} },
		Logger:       hclog.New(&hclog.LoggerOptions{Output: &f.log, DisableTime: true}),
	})
	f.report()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.watch.Run(ctx)
	// Wait for the first check.
	synctest.Wait()
	return f
}

// report publishes the reports of both domains. f.load is the load of the replica in hall-a.
func (f *fixture) report() {
	f.reportNumber++
	for _, name := range []string{"a", "b"} {
		f.catalog.Publish(&rpc.DomainReport{
			Domain: "domain-" + name, DataHall: "hall-" + name, Token: &rpc.Token{Epoch: 1}, Version: f.reportNumber, Beat: f.reportNumber,
			Replicas: []*rpc.ReplicaReport{{Id: "replica-" + name, Deployment: "chat", Serving: true}},
			Nodes:    []*rpc.NodeReport{{Id: "service-" + name, State: rpc.NodeState_SERVICE}},
			Loads:    []uint32{f.load, 0, 8},
		}, time.Now().Add(serveWindow))
		f.load = 0
	}
}

// advance waits for d while the domains report every second.
func (f *fixture) advance(d time.Duration, load uint32) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		if !f.stopsReporting {
			f.load = load
			f.report()
		}
	}
	synctest.Wait()
}

func (f *fixture) setClosed(name string, closed bool) {
	object, _ := f.state.View().Object(config.Key{Kind: config.KindDataHall, Name: name})
	data, err := config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: config.Document{Kind: config.KindDataHall, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"closed":%v}`, closed))},
	}}}.Encode()
	if err != nil {
		panic(err)
	}
	f.offset++
	f.state.Apply(cluster.Record{Offset: f.offset}, data)
}

func (f *fixture) status(name string) Status {
	for _, s := range f.watch.Statuses(time.Now()) {
		if s.Name == name {
			return s
		}
	}
	return Status{}
}

func TestHallState(t *testing.T) {
	const all = closeDelay + serveWindow + loadReportDelay + time.Second
	cases := map[string]struct {
		after    time.Duration
		change   func(f *fixture)
		load     uint32
		want     State
		obstacle string
	}{
		"nothing runs":                 {after: all, want: Empty},
		"too early":                    {after: all - 3*time.Second, want: Closing, obstacle: "daemons that get the news late"},
		"a replica reports requests":   {after: all, load: 3, want: Closing, obstacle: "3 requests are in flight"},
		"own requests at a replica":    {after: all, change: func(f *fixture) { f.inFlight["replica-a"] = 2 }, want: Closing, obstacle: "2 requests are in flight"},
		"own calls of a service":       {after: all, change: func(f *fixture) { f.inFlight["service-a"] = 1 }, want: Closing, obstacle: "1 requests are in flight"},
		"requests in another hall":     {after: all, change: func(f *fixture) { f.inFlight["replica-b"] = 2 }, want: Empty},
		"most daemons do not answer":   {after: all, change: func(f *fixture) { f.reached = 1 }, want: Closing, obstacle: "only 1 of 3 daemons have answered"},
		"a minority does not answer":   {after: all, change: func(f *fixture) { f.reached = 2 }, want: Empty},
		"its domain no longer reports": {after: all, change: func(f *fixture) { f.stopsReporting = true }, want: Closing, obstacle: "nothing was heard from the leader of its domain domain-a"},
		"opened again":                 {after: all, change: func(f *fixture) { f.setClosed("hall-a", false) }, want: Open},
		"closed, opened and closed":    {after: all, change: func(f *fixture) { f.setClosed("hall-a", false); f.setClosed("hall-a", true) }, want: Empty},
		"another change of its entry":  {after: time.Second, change: func(f *fixture) { f.setClosed("hall-a", true) }, want: Closing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				defer func() { f.cancel(); <-f.watch.Done() }()
				f.setClosed("hall-a", true)
				synctest.Wait()
				if c.change != nil {
					c.change(f)
				}
				f.advance(c.after, c.load)
				got := f.status("hall-a")
				assert.Equal(t, got.State, c.want, "%+v", got)
				assert.Assert(t, strings.Contains(strings.Join(got.Obstacles, "; "), c.obstacle), "%v", got.Obstacles)
				assert.Equal(t, f.status("hall-b").State, Open)
			})
		})
	}
}

// TestQuickReopeningStartsOver opens a closed hall and closes it again between two checks. The
// second closing must not inherit the state of the first.
func TestQuickReopeningStartsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		defer func() { f.cancel(); <-f.watch.Done() }()
		f.setClosed("hall-a", true)
		f.advance(time.Minute, 0)
		assert.Equal(t, f.status("hall-a").State, Empty)
		f.setClosed("hall-a", false)
		f.setClosed("hall-a", true)
		assert.Equal(t, f.status("hall-a").State, Closing)
		f.advance(2*time.Second, 0)
		assert.Equal(t, f.status("hall-a").State, Closing)
		assert.Equal(t, f.watch.Count(Closing), 1)
		f.advance(time.Minute, 0)
		assert.Equal(t, f.status("hall-a").State, Empty)
	})
}

// TestChangesOfStateAreLogged checks that one line is logged when a hall is closed, when it
// becomes empty, and when it is opened.
func TestChangesOfStateAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.setClosed("hall-a", true)
		f.advance(time.Minute, 0)
		// Move between two checks.
		time.Sleep(pollInterval / 2)
		f.setClosed("hall-a", false)
		f.advance(time.Minute, 0)
		f.cancel()
		<-f.watch.Done()
		assert.Equal(t, f.log.String(), `[INFO]  data hall closed: hall=hall-a revision=2
[INFO]  data hall empty: hall=hall-a after_ms=21000
[INFO]  data hall open: hall=hall-a after_ms=60000
`)
	})
}

// TestStatusesNameEveryHall checks that a hall is listed if only a document, a domain or a daemon
// names it.
func TestStatusesNameEveryHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		defer func() { f.cancel(); <-f.watch.Done() }()
		f.setClosed("hall-d", false)
		var names []string
		for _, s := range f.watch.Statuses(time.Now()) {
			names = append(names, s.Name)
		}
		assert.DeepEqual(t, names, []string{"hall-a", "hall-b", "hall-c", "hall-d"})
		assert.DeepEqual(t, f.status("hall-a"), Status{Name: "hall-a", State: Open, Nodes: 1, Replicas: 1})
		assert.DeepEqual(t, f.status("hall-c"), Status{Name: "hall-c", State: Open, Daemons: 1})
	})
}
