package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/admission"
	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/config"
	"quartzshelf.dev/eventlog"
	"quartzshelf.dev/gateway"
	"quartzshelf.dev/hall"
	"quartzshelf.dev/intent"
	"quartzshelf.dev/membership"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/replica"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/standin"
	"quartzshelf.dev/standin/client"
	"quartzshelf.dev/standin/server"
	"quartzshelf.dev/telemetry"
)

const (
	// maxCheckpointDelay bounds the random delay before a daemon writes a checkpoint. The
	// delay keeps the daemons from all writing at the same time.
	maxCheckpointDelay = 20 * time.Second
	// keyRetentionDivisor divides the log's retention. The result is how long the
	// idempotency key of a caller is kept.
	keyRetentionDivisor = 2
	// announceTimeout bounds each attempt to append the daemon's announcement.
	announceTimeout    = 5 * time.Second
	announceRetryDelay = 5 * time.Second
	peerReadTimeout    = 10 * time.Second
)

// Daemon is a quartzshelf daemon with all its components.
type Daemon struct {
	settings  *Settings
	logger    hclog.Logger
	startedAt time.Time

	embedded         *server.Server
	configState      *config.State
	grants           *ownership.State
	intents          *intent.State
	announcedDaemons *arrivals
	followers        map[string]*eventlog.Follower

	meter              *telemetry.Meter
	catalog            *catalog.Catalog
	agent              *membership.Agent
	peerClients        *peerClients
	controller         *replica.Controller
	ledger             *intent.Ledger
	limiter            *admission.Limiter
	gateway            *gateway.Gateway
	peerServer         *peerServer
	peerHTTP           *http.Server
	operatorServer     *operatorServer
	downtimeAccounting *accounting
	hallWatch          *hall.Watch
	readiness          *readiness

	listeners listeners
	// cancel stops the tasks.
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	done   chan struct{}
}

// listeners holds the listening sockets of a daemon.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			// The only expected error is that the listener is already closed.
			_ = listener.Close()
		}
	}
}

// New opens the daemon's ports and builds its components. Start runs them.
func New(settings *Settings, logger hclog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: settings, logger: logger, startedAt: time.Now(),
		followers: make(map[string]*eventlog.Follower), done: make(chan struct{}),
	}
	if err := d.listen(); err != nil {
		d.listeners.close()
		return nil, err
	}
	platform, err := d.connectPlatform()
	if err != nil {
		d.listeners.close()
		return nil, err
	}
	if err := d.buildComponents(platform); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	for _, port := range []struct {
		step, address string
		listener      *net.Listener
	}{
		{"listen for callers", d.settings.Callers, &d.listeners.callers},
		{"listen for operators", d.settings.Operators, &d.listeners.operators},
		{"listen for peers", d.settings.Peers, &d.listeners.peers},
	} {
		if *port.listener, err = net.Listen("tcp", port.address); err != nil {
			return failure.Wrap(failure.Unavailable, port.step, port.address, err)
		}
	}
	return nil
}

// connectPlatform returns a client of the platform. If the settings ask for an embedded platform,
// it first starts the embedded platform.
func (d *Daemon) connectPlatform() (*client.Client, error) {
	p := d.settings.Platform
	if p.Embedded == nil {
		return client.New(client.Options{LogAddress: p.Log, NodeListAddress: p.Nodes, Logger: d.logger.Named("platform")}), nil
	}
	host, _, err := net.SplitHostPort(d.settings.Callers)
	if err != nil {
		return nil, failure.Wrap(failure.Invalid, "start embedded platform", d.settings.Callers, err)
	}
	d.embedded, err = server.New(server.Options{
		Host: host,
		Log:  standin.LogOptions{Retention: p.LogRetention},
		Cluster: standin.ClusterOptions{
			Domains: p.Embedded.Domains, StoreGBPerSecond: p.Embedded.StoreGBPerSecond,
			WeightsPerNodeGB: p.Embedded.LoadGB, TokenInterval: p.Embedded.Step, Slots: p.Embedded.Slots,
			MaxListAge: p.Embedded.ListLag,
		},
	})
	if err != nil {
		return nil, err
	}
	address := d.embedded.Address()
	return client.New(client.Options{LogAddress: address, NodeListAddress: address, Logger: d.logger.Named("platform")}), nil
}

// buildComponents creates the daemon's components and connects them to each other.
func (d *Daemon) buildComponents(platform *client.Client) error {
	var err error
	if d.meter, err = telemetry.NewMeter(); err != nil {
		return err
	}
	retention := d.settings.Platform.LogRetention
	d.configState = config.NewState()
	d.grants = ownership.NewState()
	d.intents = intent.NewState(retention / keyRetentionDivisor)
	d.announcedDaemons = newArrivals()
	d.addFollower(platform, streamConfiguration, d.configState)
	d.addFollower(platform, ownership.Stream, d.grants)
	d.addFollower(platform, intent.Stream, d.intents)
	d.addFollower(platform, streamArrivals, d.announcedDaemons)

	d.catalog = catalog.New()
	d.peerClients = newPeerClients()
	d.agent = d.newAgent()
	d.controller = d.newController(platform)
	d.ledger = d.newLedger()
	d.limiter = admission.NewLimiter(admission.LimiterOptions{
		Lease:   d.leaseShare,
		Daemons: func() int { return len(d.stayingMembers()) },
	})
	d.peerServer = &peerServer{Agent: d.agent, ledger: d.ledger, home: admission.NewHome(), config: d.configState.View}
	d.peerHTTP = newPeerHTTP(d.peerServer)
	d.readiness = newReadiness(d)
	d.gateway = d.newGateway()
	d.hallWatch = d.newHallWatch()
	d.downtimeAccounting = newAccounting(d)
	d.operatorServer = newOperatorServer(d)
	return nil
}

func (d *Daemon) addFollower(log cluster.Log, stream string, state eventlog.State) {
	d.followers[stream] = eventlog.NewFollower(eventlog.FollowerOptions{
		Log: log, Stream: stream, State: state,
		Retention: d.settings.Platform.LogRetention,
		NewID:     newID,
		CheckpointDelay: func() time.Duration {
			return time.Duration(rand.Int64N(int64(maxCheckpointDelay)))
		},
	})
}

func (d *Daemon) newAgent() *membership.Agent {
	s := d.settings
	return membership.NewAgent(membership.Options{
		Self: &rpc.Member{
			Id: s.Name, Incarnation: uint64(d.startedAt.UnixMilli()),
			PeerAddress:  d.listeners.peers.Addr().String(),
			EntryAddress: d.listeners.callers.Addr().String(),
			DataHall:     s.DataHall, Region: s.Region,
		},
		Seeds: func() []string { return append(d.announcedDaemons.peerAddresses(), s.Seeds...) },
		Dial:  d.peerClients.get, Reports: d.catalog,
		Configuration: eventlog.NewShared(d.followers[streamConfiguration]), Quarantine: d.quarantineExchange(),
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

func (d *Daemon) newController(platform *client.Client) *replica.Controller {
	grants := d.followers[ownership.Stream]
	return replica.NewController(replica.Options{
		Self: d.settings.Name, Config: d.configState.View, NodeList: platform, NodeControl: platform,
		Catalog: d.catalog, Members: replica.NewTableMembers(d.agent.Table()), Ownership: d.grants,
		AppendGrant: func(ctx context.Context, record json.RawMessage) error {
			return grants.Append(ctx, newID(), record)
		},
		OwnershipConfirmedAt: grants.Confirmed,
		ServeWindow:          d.settings.ServeWindow,
		MaxConcurrentLoads:   d.settings.ConcurrentWeightLoads,
		Logger:               d.logger.Named("replica"),
	})
}

func (d *Daemon) newLedger() *intent.Ledger {
	return intent.NewLedger(intent.Options{
		Self: d.settings.Name, State: d.intents, Follower: d.followers[intent.Stream], NewID: newID,
		FlushEvery: func() time.Duration { return minFlushInterval(len(d.stayingMembers())) },
		Submit:     d.submitIntent,
		Ask:        d.askOutcome,
	})
}

func (d *Daemon) newGateway() *gateway.Gateway {
	return gateway.New(gateway.Options{
		Config: d.configState.View, Catalog: d.catalog, Ledger: d.ledger, Limiter: d.limiter, Meter: d.meter,
		ClosedState: d.readiness.checkReady, IsLeaving: func() bool { return d.agent.Table().Self().Leaving }, Entries: d.listEntries, EntriesValidUntil: d.readiness.renewEntriesExpiry,
		DaemonCount: func() int { return len(d.stayingMembers()) },
		NewID:       newID, MaxBodyBytes: d.settings.MaxBodyBytes, Logger: d.logger.Named("gateway"),
	})
}

// Addresses returns the IP:port pairs for callers and operators.
func (d *Daemon) Addresses() (callers, operators string) {
	return d.listeners.callers.Addr().String(), d.listeners.operators.Addr().String()
}

// Done is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Start runs each of the daemon's tasks in a goroutine of its own.
func (d *Daemon) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, f := range d.followers {
		d.tasks.Go(func() { f.Run(ctx) })
	}
	d.tasks.Go(func() { d.agent.Run(ctx) })
	d.tasks.Go(func() { d.controller.Run(ctx) })
	d.tasks.Go(func() { d.ledger.Run(ctx) })
	d.tasks.Go(func() { d.limiter.Run(ctx) })
	d.tasks.Go(func() { d.downtimeAccounting.run(ctx) })
	d.tasks.Go(func() { d.announce(ctx) })
	d.tasks.Go(func() { d.readiness.run(ctx) })
	d.tasks.Go(func() { d.hallWatch.Run(ctx) })
	d.tasks.Go(func() {
		d.serve("peers", func() error { return d.peerHTTP.Serve(countingListener{d.listeners.peers, d.peerClients.traffic}) })
	})
	d.tasks.Go(func() {
		d.serve("operators", func() error { return d.operatorServer.app.Listener(d.listeners.operators) })
	})
	d.tasks.Go(func() { d.serve("callers", func() error { return d.gateway.Serve(d.listeners.callers) }) })
}

func (d *Daemon) serve(what string, run func() error) {
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.logger.Error("stopped serving", "for", what, "error", err)
	}
}

// announce appends this daemon's addresses to the log. It retries until the append
// succeeds or ctx is done.
func (d *Daemon) announce(ctx context.Context) {
	record, err := json.Marshal(arrival{Name: d.settings.Name, PeerAddress: d.listeners.peers.Addr().String()})
	if err != nil {
		d.logger.Error("arrival not encoded", "error", err)
		return
	}
	warned := false
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := d.followers[streamArrivals].Append(attemptCtx, newID(), record)
		cancel()
		if err == nil {
			return
		}
		if !warned && ctx.Err() == nil {
			d.logger.Warn("announcement not appended to the log; retrying", "error", err)
			warned = true
		}
		pause.Sleep(ctx, announceRetryDelay)
	}
}

// newID returns a unique id. Ids sort by the time of their creation.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// The system's source of randomness failed.
		panic(err)
	}
	return id.String()
}

// ApplyConfigurationFile publishes the documents in a file, after the daemon has read
// the configuration stream to its end. It is meant for the embedded platform.
func (d *Daemon) ApplyConfigurationFile(ctx context.Context, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(failure.Invalid, "read configuration", file, err)
	}
	parsed, err := config.ParseFile(file, string(text))
	if err != nil {
		return err
	}
	select {
	case <-d.followers[streamConfiguration].CaughtUp():
	case <-ctx.Done():
		return failure.Wrap(failure.Unavailable, "read configuration stream", file, ctx.Err())
	}
	set := config.ChangeSet{Author: "settings"}
	for _, p := range parsed {
		set.Changes = append(set.Changes, config.Change{Operation: config.OperationPut, Document: p.Document()})
	}
	verdict, err := d.publish(ctx, newID(), set)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return failure.New(failure.Invalid, "apply configuration", file, "%s", verdict.Problem)
	}
	return nil
}

// AwaitReplica waits until at least one replica is serving or ctx is done.
func (d *Daemon) AwaitReplica(ctx context.Context) error {
	const pollInterval = 100 * time.Millisecond
	for {
		for _, r := range d.replicaRows(time.Now()) {
			if r.State == replicaServing {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(failure.Unavailable, "wait for a replica", d.settings.Name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// publish appends a change set to the configuration stream. It returns the verdict that
// this daemon reached when it applied the record.
func (d *Daemon) publish(ctx context.Context, id string, set config.ChangeSet) (config.Verdict, error) {
	data, err := set.Encode()
	if err != nil {
		return config.Verdict{}, failure.Wrap(failure.Invalid, "encode change set", "", err)
	}
	if err := d.followers[streamConfiguration].Append(ctx, id, data); err != nil {
		return config.Verdict{}, err
	}
	verdict, ok := d.findVerdict(id)
	if !ok {
		return verdict, failure.New(failure.Unavailable, "find verdict", id, "it was pushed out of the history")
	}
	return verdict, nil
}

// findVerdict returns the verdict on the change set with the given id. It reports false
// if the history doesn't hold the verdict.
func (d *Daemon) findVerdict(id string) (config.Verdict, bool) {
	for _, v := range d.configState.History() {
		if v.ID == id {
			return v, true
		}
	}
	return config.Verdict{}, false
}
