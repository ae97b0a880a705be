// Package proof holds the property-based tests of what must always hold, over
// several daemons and under drawn schedules of faults, in virtual time. The
// daemons are put together from the parts that run in production; only the
// network, the log and the nodes are stand-ins.
package proof

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/config"
	"quartzshelf.dev/eventlog"
	"quartzshelf.dev/hall"
	"quartzshelf.dev/intent"
	"quartzshelf.dev/membership"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/replica"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/standin"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const (
	serveWindow = 6 * time.Second
	halls       = 3
)

// fleet is a set of daemons with their platform.
type fleet struct {
	net     *network
	log     *standin.Log
	cluster *standin.Cluster
	hosts   []*host
	ids     int
	mu      sync.Mutex
}

// host is one daemon.
type host struct {
	id        string
	fleet     *fleet
	life      int
	state     *config.State
	grants    *ownership.State
	intents   *intent.State
	followers map[string]*eventlog.Follower
	catalog   *catalog.Catalog
	agent     *membership.Agent
	ledger    *intent.Ledger
	halls     *hall.Watch
	startedAt time.Time
	cancel    context.CancelFunc
	duties    conc.WaitGroup
}

// fleetOptions describes a fleet.
type fleetOptions struct {
	daemons   int
	domains   []standin.DomainOptions
	retention time.Duration
	// without keeps the controllers out, for tests of other parts.
	withoutControllers bool
}

func newFleet(opts fleetOptions) *fleet {
	f := &fleet{net: newNetwork()}
	f.log = standin.NewLog(standin.LogOptions{Retention: opts.retention})
	f.cluster = standin.NewCluster(standin.ClusterOptions{
		Domains: opts.domains, StoreGBPerSecond: 20, LoadGB: 2,
		Step: 8 * time.Millisecond, Slots: 4, ListLag: 2 * time.Second,
	})
	for i := range opts.daemons {
		h := &host{id: fmt.Sprintf("entry-%d", i), fleet: f}
		f.hosts = append(f.hosts, h)
		h.start(opts)
	}
	return f
}

func (f *fleet) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	return fmt.Sprint("id-", f.ids)
}

// stop ends all daemons.
func (f *fleet) stop() {
	f.net.heal()
	f.log.SetFaults(standin.LogFaults{})
	for _, h := range f.hosts {
		h.kill()
	}
	for _, n := range f.cluster.All() {
		n.SetStuck(false)
		n.Kill()
	}
}

// start begins a new life of the daemon, which remembers nothing.
func (h *host) start(opts fleetOptions) {
	h.life++
	h.state, h.grants = config.NewState(), ownership.NewState()
	h.intents = intent.NewState(20 * time.Minute)
	h.catalog = catalog.New()
	h.followers = make(map[string]*eventlog.Follower)
	log := hostLog{net: h.fleet.net, host: h.id, log: h.fleet.log}
	for stream, state := range map[string]eventlog.State{
		"configuration": h.state, ownership.Stream: h.grants, intent.Stream: h.intents,
	} {
		h.followers[stream] = eventlog.NewFollower(eventlog.FollowerOptions{
			Log: log, Stream: stream, State: state, Retention: cmp.Or(opts.retention, time.Hour),
			NewID: h.fleet.newID, CheckpointDelay: func() time.Duration { return time.Second },
		})
	}
	var seeds []string
	for i := range opts.daemons {
		seeds = append(seeds, fmt.Sprintf("entry-%d", i))
	}
	h.agent = membership.NewAgent(membership.Options{
		Self: &rpc.Member{
			Id: h.id, PeerAddress: h.id, Incarnation: uint64(time.Now().UnixMilli()),
			DataHall: fmt.Sprint("hall-", len(h.id)%halls),
		},
		Seeds:         func() []string { return seeds },
		Dial:          func(address string) rpc.Peer { return remotePeer{net: h.fleet.net, from: h.id, to: address} },
		Reports:       h.catalog,
		Configuration: eventlog.NewShared(h.followers["configuration"]),
		Random:        rand.New(rand.NewPCG(1, uint64(h.life))),
	})
	h.ledger = h.newLedger()
	h.startedAt = time.Now()
	h.halls = hall.NewWatch(hall.Options{
		Config: h.state.View, Catalog: h.catalog, Reached: h.agent.Reached, ServeWindow: serveWindow,
		InFlight: func(string) int { return 0 }, Daemons: func() map[string]int { return nil },
		Logger: hclog.NewNullLogger(),
	})
	h.run(opts)
}

func (h *host) newLedger() *intent.Ledger {
	return intent.NewLedger(intent.Options{
		Self: h.id, State: h.intents, Follower: h.followers[intent.Stream], NewID: h.fleet.newID,
		FlushEvery: func() time.Duration { return 50 * time.Millisecond },
		Submit: func(ctx context.Context, _ intent.Key, record cluster.Record) bool {
			// The first daemon writes for all; it may be dead, cut off or frozen.
			if h.id == h.fleet.hosts[0].id {
				return false
			}
			peer := remotePeer{net: h.fleet.net, from: h.id, to: h.fleet.hosts[0].id}
			reply, err := peer.Claim(ctx, &rpc.ClaimRequest{RecordId: record.ID, Data: record.Data})
			return err == nil && reply.Committed
		},
		Ask: func(ctx context.Context, holder, attempt string) (intent.Outcome, error) {
			peer := remotePeer{net: h.fleet.net, from: h.id, to: holder}
			reply, err := peer.Outcome(ctx, &rpc.OutcomeRequest{Attempt: attempt})
			if err != nil {
				return intent.Outcome{}, err
			}
			answer := intent.NewAnswer(int(reply.Status), "", reply.Body)
			return intent.NewOutcome(intent.Phase(reply.State), answer), nil
		},
	})
}

// run starts the daemon's duties.
func (h *host) run(opts fleetOptions) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.duties = conc.WaitGroup{}
	nodes := hostNodes{net: h.fleet.net, host: h.id, cluster: h.fleet.cluster}
	grants := h.followers[ownership.Stream]
	for _, f := range h.followers {
		h.duties.Go(func() { f.Run(ctx) })
	}
	h.duties.Go(func() { h.agent.Run(ctx) })
	h.duties.Go(func() { h.ledger.Run(ctx) })
	h.duties.Go(func() { h.halls.Run(ctx) })
	if !opts.withoutControllers {
		controller := replica.NewController(replica.Options{
			Self: h.id, Config: h.state.View, List: nodes, Control: nodes, Catalog: h.catalog,
			Members: replica.NewTableMembers(h.agent.Table()), Ownership: h.grants,
			AppendGrant: func(ctx context.Context, record json.RawMessage) error {
				return grants.Append(ctx, h.fleet.newID(), record)
			},
			OwnershipConfirmed: grants.Confirmed, ServeWindow: serveWindow, LoadSlots: 2,
			Logger: hclog.NewNullLogger(),
		})
		h.duties.Go(func() { controller.Run(ctx) })
	}
	h.fleet.net.mu.Lock()
	defer h.fleet.net.mu.Unlock()
	h.fleet.net.peers[h.id] = peerOf{Agent: h.agent, ledger: h.ledger}
}

// kill ends the daemon's life; its memory is lost.
func (h *host) kill() {
	if h.cancel == nil {
		return
	}
	h.fleet.net.die(h.id)
	h.cancel()
	h.duties.Wait()
	h.cancel = nil
}

// alive reports whether the daemon runs and is not frozen.
func (h *host) alive() bool {
	return h.cancel != nil && !h.fleet.net.isFrozen(h.id)
}

// peerOf is what a daemon offers to the others.
type peerOf struct {
	*membership.Agent
	ledger *intent.Ledger
}

func (p peerOf) Claim(_ context.Context, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	return &rpc.ClaimReply{Committed: p.ledger.Write(cluster.Record{ID: r.RecordId, Data: r.Data})}, nil
}

func (p peerOf) Outcome(_ context.Context, r *rpc.OutcomeRequest) (*rpc.OutcomeReply, error) {
	o := p.ledger.Local(r.Attempt)
	return &rpc.OutcomeReply{State: string(o.Phase()), Status: uint32(o.Answer().Status()), Body: o.Answer().Body()}, nil
}

func (p peerOf) LeaseShare(context.Context, *rpc.LeaseShareRequest) (*rpc.LeaseShareReply, error) {
	return &rpc.LeaseShareReply{}, nil
}

// publish appends a change set through a daemon and returns the verdict.
func (h *host) publish(ctx context.Context, id string, set config.ChangeSet) (config.Verdict, error) {
	data, err := set.Encode()
	if err != nil {
		return config.Verdict{}, err
	}
	if err := h.followers["configuration"].Append(ctx, id, data); err != nil {
		return config.Verdict{}, err
	}
	for _, v := range h.state.History() {
		if v.ID == id {
			return v, nil
		}
	}
	return config.Verdict{}, errCut
}

// settle lets the daemons start, publishes the basics with one replica wanted,
// and waits until it has been formed.
func (f *fleet) settle(t *testing.T) {
	t.Helper()
	time.Sleep(2 * time.Second)
	f.basics(t, 1)
	time.Sleep(10 * time.Second)
}

// document returns a document with a spec.
func document(kind config.Kind, name string, labels map[string]string, spec any) config.Document {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return config.Document{Kind: kind, Name: name, Labels: labels, Spec: data}
}

// basics publishes a model and a deployment.
func (f *fleet) basics(t *testing.T, replicas int) {
	t.Helper()
	set := config.ChangeSet{Changes: []config.Change{
		{Operation: config.OperationPut, Document: document(config.KindModel, "m", map[string]string{"family": "m"},
			config.ModelSpec{Version: "v1"})},
		{Operation: config.OperationPut, Document: document(config.KindDeployment, "chat", nil, config.DeploymentSpec{
			ModelSelector: "family=m", NodesPerReplica: 4, Replicas: replicas, Priority: 1,
		})},
		{Operation: config.OperationPut, Document: document(config.KindDeployment, "batch", nil, config.DeploymentSpec{
			ModelSelector: "family=m", NodesPerReplica: 4, Replicas: 1,
		})},
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	verdict, err := f.hosts[0].publish(ctx, "basics", set)
	assert.NilError(t, err)
	assert.Assert(t, verdict.Accepted, verdict.Problem)
}
