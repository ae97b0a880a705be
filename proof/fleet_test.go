// Package proof holds property-based tests of a whole fleet under random faults, in virtual
// time. The daemons consist of production code. The network, the log and the nodes are
// simulated.
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
	hallCount   = 3
)

// fleet is a set of daemons with a network, a log and nodes.
type fleet struct {
	net     *network
	log     *standin.Log
	cluster *standin.Cluster
	hosts   []*host
	lastID  int
	mu      sync.Mutex
}

// host is one daemon of a fleet. It can be killed and started again.
type host struct {
	id        string
	fleet     *fleet
	runNumber int
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
	tasks     conc.WaitGroup
}

// fleetOptions are the options of newFleet.
type fleetOptions struct {
	daemons   int
	domains   []standin.DomainOptions
	retention time.Duration
	// withoutControllers leaves out the replica controllers, for tests of other components.
	withoutControllers bool
}

func newFleet(opts fleetOptions) *fleet {
	f := &fleet{net: newNetwork()}
	f.log = standin.NewLog(standin.LogOptions{Retention: opts.retention})
	f.cluster = standin.NewCluster(standin.ClusterOptions{
		Domains: opts.domains, StoreGBPerSecond: 20, WeightsPerNodeGB: 2,
		TokenInterval: 8 * time.Millisecond, Slots: 4, MaxListAge: 2 * time.Second,
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
	f.lastID++
	return fmt.Sprint("id-", f.lastID)
}

// stop ends all faults, daemons and nodes.
func (f *fleet) stop() {
	f.net.heal()
	f.log.SetFaults(standin.LogFaults{})
	for _, h := range f.hosts {
		h.kill()
	}
	for _, n := range f.cluster.AllNodes() {
		n.SetUnresponsive(false)
		n.Kill()
	}
}

// start starts the daemon with empty state and a new run number.
func (h *host) start(opts fleetOptions) {
	h.runNumber++
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
			DataHall: fmt.Sprint("hall-", len(h.id)%hallCount),
		},
		Seeds:         func() []string { return seeds },
		Dial:          func(address string) rpc.Peer { return remotePeer{net: h.fleet.net, from: h.id, to: address} },
		Reports:       h.catalog,
		Configuration: eventlog.NewShared(h.followers["configuration"]),
		Random:        rand.New(rand.NewPCG(1, uint64(h.runNumber))),
	})
	h.ledger = h.newLedger()
	h.startedAt = time.Now()
	h.halls = hall.NewWatch(hall.Options{
		Config: h.state.View, Catalog: h.catalog, CountReached: h.agent.CountReached, ServeWindow: serveWindow,
		InFlight: func(string) int { return 0 }, Daemons: func() map[string]int { return nil },
		Logger: hclog.NewNullLogger(),
	})
	h.startTasks(opts)
}

func (h *host) newLedger() *intent.Ledger {
	return intent.NewLedger(intent.Options{
		Self: h.id, State: h.intents, Follower: h.followers[intent.Stream], NewID: h.fleet.newID,
		FlushEvery: func() time.Duration { return 50 * time.Millisecond },
		Submit: func(ctx context.Context, _ intent.Key, record cluster.Record) bool {
			// The first daemon appends the claims of all others to the log. That daemon may be
			// killed, cut off or frozen.
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

// startTasks starts the background tasks of the daemon and connects it to the network.
func (h *host) startTasks(opts fleetOptions) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.tasks = conc.WaitGroup{}
	nodes := hostNodes{net: h.fleet.net, host: h.id, cluster: h.fleet.cluster}
	grants := h.followers[ownership.Stream]
	for _, f := range h.followers {
		h.tasks.Go(func() { f.Run(ctx) })
	}
	h.tasks.Go(func() { h.agent.Run(ctx) })
	h.tasks.Go(func() { h.ledger.Run(ctx) })
	h.tasks.Go(func() { h.halls.Run(ctx) })
	if !opts.withoutControllers {
		controller := replica.NewController(replica.Options{
			Self: h.id, Config: h.state.View, NodeList: nodes, NodeControl: nodes, Catalog: h.catalog,
			Members: replica.NewTableMembers(h.agent.Table()), Ownership: h.grants,
			AppendGrant: func(ctx context.Context, record json.RawMessage) error {
				return grants.Append(ctx, h.fleet.newID(), record)
			},
			OwnershipConfirmedAt: grants.Confirmed, ServeWindow: serveWindow, MaxConcurrentLoads: 2,
			Logger: hclog.NewNullLogger(),
		})
		h.tasks.Go(func() { controller.Run(ctx) })
	}
	h.fleet.net.mu.Lock()
	defer h.fleet.net.mu.Unlock()
	h.fleet.net.peers[h.id] = localPeer{Agent: h.agent, ledger: h.ledger}
}

// kill stops the daemon and discards its state.
func (h *host) kill() {
	if h.cancel == nil {
		return
	}
	h.fleet.net.recordKill(h.id)
	h.cancel()
	h.tasks.Wait()
	h.cancel = nil
}

// isAlive reports whether the daemon runs and is not frozen.
func (h *host) isAlive() bool {
	return h.cancel != nil && !h.fleet.net.isFrozen(h.id)
}

// localPeer handles the calls that a daemon receives from the others.
type localPeer struct {
	*membership.Agent
	ledger *intent.Ledger
}

func (p localPeer) Claim(_ context.Context, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	return &rpc.ClaimReply{Committed: p.ledger.Write(cluster.Record{ID: r.RecordId, Data: r.Data})}, nil
}

func (p localPeer) Outcome(_ context.Context, r *rpc.OutcomeRequest) (*rpc.OutcomeReply, error) {
	o := p.ledger.LocalOutcome(r.Attempt)
	return &rpc.OutcomeReply{State: string(o.Phase()), Status: uint32(o.Answer().Status()), Body: o.Answer().Body()}, nil
}

func (p localPeer) LeaseShare(context.Context, *rpc.LeaseShareRequest) (*rpc.LeaseShareReply, error) {
	return &rpc.LeaseShareReply{}, nil
}

// publish appends a change set through the daemon and returns the verdict.
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

// formFirstReplica waits until the daemons have started, publishes the basic configuration with
// one wanted replica of chat, and waits until that replica has formed.
func (f *fleet) formFirstReplica(t *testing.T) {
	t.Helper()
	time.Sleep(2 * time.Second)
	f.publishBasics(t, 1)
	time.Sleep(10 * time.Second)
}

// newDocument returns a document with the encoded spec.
func newDocument(kind config.Kind, name string, labels map[string]string, spec any) config.Document {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return config.Document{Kind: kind, Name: name, Labels: labels, Spec: data}
}

// publishBasics publishes a model and two deployments: chat with the given number of replicas,
// and batch with one replica and a lower priority.
func (f *fleet) publishBasics(t *testing.T, replicas int) {
	t.Helper()
	set := config.ChangeSet{Changes: []config.Change{
		{Operation: config.OperationPut, Document: newDocument(config.KindModel, "m", map[string]string{"family": "m"},
			config.ModelSpec{Version: "v1"})},
		{Operation: config.OperationPut, Document: newDocument(config.KindDeployment, "chat", nil, config.DeploymentSpec{
			ModelSelector: "family=m", NodesPerReplica: 4, Replicas: replicas, Priority: 1,
		})},
		{Operation: config.OperationPut, Document: newDocument(config.KindDeployment, "batch", nil, config.DeploymentSpec{
			ModelSelector: "family=m", NodesPerReplica: 4, Replicas: 1,
		})},
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	verdict, err := f.hosts[0].publish(ctx, "basics", set)
	assert.NilError(t, err)
	assert.Assert(t, verdict.Accepted, verdict.Problem)
}
