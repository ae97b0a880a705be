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

// bench is a watch before a fleet of three daemons and one domain in each of two halls.
type bench struct {
	state   *config.State
	catalog *catalog.Catalog
	offset  int64
	beat    uint64
	reached int
	own     map[string]int
	load    uint32
	// silent domains report no more.
	silent bool
	log    bytes.Buffer
	watch  *Watch
	cancel context.CancelFunc
}

func newBench() *bench {
	b := &bench{state: config.NewState(), catalog: catalog.New(), reached: 3, own: make(map[string]int)}
	b.watch = NewWatch(Options{
		Config: b.state.View, Catalog: b.catalog, ServeWindow: serveWindow,
		Reached:  func(time.Time) (int, int) { return b.reached, 3 },
		InFlight: func(id string) int { return b.own[id] },
		Daemons:  func() map[string]int { return map[string]int{"hall-c": 1} },
		Logger:   hclog.New(&hclog.LoggerOptions{Output: &b.log, DisableTime: true}),
	})
	b.report()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.watch.Run(ctx)
	// The first look comes before anything else.
	synctest.Wait()
	return b
}

// report publishes both domains; the load is that of the replica in hall-a.
func (b *bench) report() {
	b.beat++
	for _, name := range []string{"a", "b"} {
		b.catalog.Publish(&rpc.DomainReport{
			Domain: "domain-" + name, DataHall: "hall-" + name, Token: &rpc.Token{Epoch: 1}, Version: b.beat, Beat: b.beat,
			Replicas: []*rpc.ReplicaReport{{Id: "replica-" + name, Deployment: "chat", Serving: true}},
			Nodes:    []*rpc.NodeReport{{Id: "service-" + name, State: rpc.NodeState_SERVICE}},
			Loads:    []uint32{b.load, 0, 8},
		}, time.Now().Add(serveWindow))
		b.load = 0
	}
}

// pass lets time pass, in which domains report every second.
func (b *bench) pass(d time.Duration, load uint32) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		if !b.silent {
			b.load = load
			b.report()
		}
	}
	synctest.Wait()
}

func (b *bench) set(name string, closed bool) {
	object, _ := b.state.View().Object(config.Key{Kind: config.KindDataHall, Name: name})
	data, err := config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: config.Document{Kind: config.KindDataHall, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"closed":%v}`, closed))},
	}}}.Encode()
	if err != nil {
		panic(err)
	}
	b.offset++
	b.state.Apply(cluster.Record{Offset: b.offset}, data)
}

func (b *bench) status(name string) Status {
	for _, s := range b.watch.Statuses(time.Now()) {
		if s.Name == name {
			return s
		}
	}
	return Status{}
}

func TestWhenAHallIsEmpty(t *testing.T) {
	const all = inForce + serveWindow + loadLag + time.Second
	cases := map[string]struct {
		after    time.Duration
		change   func(b *bench)
		load     uint32
		want     State
		obstacle string
	}{
		"nothing runs":                {after: all, want: Empty},
		"too early":                   {after: all - 3*time.Second, want: Closing, obstacle: "daemons that get the news late"},
		"a replica reports requests":  {after: all, load: 3, want: Closing, obstacle: "3 requests are in flight"},
		"own requests at a replica":   {after: all, change: func(b *bench) { b.own["replica-a"] = 2 }, want: Closing, obstacle: "2 requests are in flight"},
		"own calls of a service":      {after: all, change: func(b *bench) { b.own["service-a"] = 1 }, want: Closing, obstacle: "1 requests are in flight"},
		"requests in another hall":    {after: all, change: func(b *bench) { b.own["replica-b"] = 2 }, want: Empty},
		"most daemons do not answer":  {after: all, change: func(b *bench) { b.reached = 1 }, want: Closing, obstacle: "only 1 of 3 daemons have answered"},
		"a minority does not answer":  {after: all, change: func(b *bench) { b.reached = 2 }, want: Empty},
		"its domain reports no more":  {after: all, change: func(b *bench) { b.silent = true }, want: Closing, obstacle: "nothing was heard from the leader of its domain domain-a"},
		"opened again":                {after: all, change: func(b *bench) { b.set("hall-a", false) }, want: Open},
		"closed, opened and closed":   {after: all, change: func(b *bench) { b.set("hall-a", false); b.set("hall-a", true) }, want: Empty},
		"another change of its entry": {after: time.Second, change: func(b *bench) { b.set("hall-a", true) }, want: Closing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				defer func() { b.cancel(); <-b.watch.Done() }()
				b.set("hall-a", true)
				synctest.Wait()
				if c.change != nil {
					c.change(b)
				}
				b.pass(c.after, c.load)
				got := b.status("hall-a")
				assert.Equal(t, got.State, c.want, "%+v", got)
				assert.Assert(t, strings.Contains(strings.Join(got.Obstacles, "; "), c.obstacle), "%v", got.Obstacles)
				assert.Equal(t, b.status("hall-b").State, Open)
			})
		})
	}
}

// TestQuickReopeningBeginsAnew opens and closes a hall between two looks: what was found
// of the first closing says nothing of the second.
func TestQuickReopeningBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		defer func() { b.cancel(); <-b.watch.Done() }()
		b.set("hall-a", true)
		b.pass(time.Minute, 0)
		assert.Equal(t, b.status("hall-a").State, Empty)
		b.set("hall-a", false)
		b.set("hall-a", true)
		assert.Equal(t, b.status("hall-a").State, Closing)
		b.pass(2*time.Second, 0)
		assert.Equal(t, b.status("hall-a").State, Closing)
		assert.Equal(t, b.watch.Count(Closing), 1)
		b.pass(time.Minute, 0)
		assert.Equal(t, b.status("hall-a").State, Empty)
	})
}

// TestChangesOfStateAreLogged reads the log of a closing and an opening, each once.
func TestChangesOfStateAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.set("hall-a", true)
		b.pass(time.Minute, 0)
		// Between two looks.
		time.Sleep(lookEvery / 2)
		b.set("hall-a", false)
		b.pass(time.Minute, 0)
		b.cancel()
		<-b.watch.Done()
		assert.Equal(t, b.log.String(), `[INFO]  data hall closed: hall=hall-a revision=2
[INFO]  data hall empty: hall=hall-a after_ms=21000
[INFO]  data hall open: hall=hall-a after_ms=60000
`)
	})
}

// TestStatusesNameEveryHall also names halls that only a document, a domain or a daemon
// names.
func TestStatusesNameEveryHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		defer func() { b.cancel(); <-b.watch.Done() }()
		b.set("hall-d", false)
		var names []string
		for _, s := range b.watch.Statuses(time.Now()) {
			names = append(names, s.Name)
		}
		assert.DeepEqual(t, names, []string{"hall-a", "hall-b", "hall-c", "hall-d"})
		assert.DeepEqual(t, b.status("hall-a"), Status{Name: "hall-a", State: Open, Nodes: 1, Replicas: 1})
		assert.DeepEqual(t, b.status("hall-c"), Status{Name: "hall-c", State: Open, Daemons: 1})
	})
}
