package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/rpc"
)

// Timing and limits of an agent.
const (
	// exchangeInterval is the interval between exchanges in fleets of up to smallFleet members;
	// larger fleets exchange largeFleetFactor times less often.
	exchangeInterval = 500 * time.Millisecond
	largeFleetFactor = 2
	exchangeTimeout  = 800 * time.Millisecond
	probeInterval    = time.Second
	probeTimeout     = 400 * time.Millisecond
	// maxChangesPerExchange is the maximum number of changed entries in one exchange.
	maxChangesPerExchange = 32
	// indirectProbes is how many other members are asked to probe an unresponsive one.
	indirectProbes = 2
	// DefaultSuspicionTimeout is how long a suspected member has to refute the suspicion.
	DefaultSuspicionTimeout = 2 * time.Second
	// seedRoundInterval is the number of rounds between exchanges with the seeds.
	seedRoundInterval = 20
	// fullSyncRounds is the number of exchanges with a differing table after which the whole table
	// is sent.
	fullSyncRounds = 8
)

// Reports is the store of domain reports that spread with membership.
type Reports interface {
	// Digest lists the reports held.
	Digest() []*rpc.ReportDigest
	// Since returns the reports that a peer with the given digest lacks.
	Since(digest []*rpc.ReportDigest) []*rpc.DomainReport
	// Merge adds reports. Their remaining validity counts from base.
	Merge(reports []*rpc.DomainReport, base time.Time)
}

// Configuration is the configuration state that spreads with membership.
type Configuration interface {
	// Next returns one past the highest offset folded.
	Next() int64
	// Stale reports whether the log has not been read recently, so that peers should send their
	// configuration.
	Stale() bool
	// Encoded returns the configuration as a checkpoint.
	Encoded() ([]byte, error)
	// Install applies a checkpoint from a peer.
	Install(data []byte) error
}

// Quarantine connects the records of requests that crash workers, which spread with membership.
// Both functions may be nil.
type Quarantine struct {
	Report func() []*rpc.QuarantineEntry
	// Merge adds the entries that a peer just sent.
	Merge func(peer string, all []*rpc.QuarantineEntry)
}

func (q Quarantine) report() []*rpc.QuarantineEntry {
	if q.Report == nil {
		return nil
	}
	return q.Report()
}

func (q Quarantine) merge(peer string, all []*rpc.QuarantineEntry) {
	if q.Merge != nil && len(all) > 0 {
		q.Merge(peer, all)
	}
}

// Options configures an Agent.
type Options struct {
	Self *rpc.Member
	// Seeds returns the addresses of daemons to contact first.
	Seeds func() []string
	// Dial returns a client for the daemon at an address.
	Dial          func(address string) rpc.Peer
	Reports       Reports
	Configuration Configuration
	// Quarantine spreads the records of requests that crash workers.
	Quarantine       Quarantine
	SuspicionTimeout time.Duration
	// Random must not be shared.
	Random *rand.Rand
}

// Agent keeps a daemon's membership table up to date.
type Agent struct {
	opts  Options
	table *Table
	done  chan struct{}

	mu                  sync.Mutex
	random              *rand.Rand
	mismatchedExchanges int
	rounds              int
	// lastAnswered holds when each member last answered.
	lastAnswered map[string]time.Time
	// fleetNext is one past the highest configuration offset that any peer reported.
	fleetNext int64
}

// NewAgent returns an agent that starts to work when Run is called.
func NewAgent(opts Options) *Agent {
	if opts.SuspicionTimeout == 0 {
		opts.SuspicionTimeout = DefaultSuspicionTimeout
	}
	return &Agent{
		opts:         opts,
		table:        NewTable(opts.Self, opts.SuspicionTimeout),
		random:       opts.Random,
		lastAnswered: make(map[string]time.Time),
		done:         make(chan struct{}),
	}
}

// Table returns the membership table.
func (a *Agent) Table() *Table { return a.table }

// Done is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// FleetNext returns one past the highest configuration offset that any peer reported.
func (a *Agent) FleetNext() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleetNext
}

// Reached returns how many members, this one included, answered since the given time, and how many
// members have not left. Dead members count until they are removed from the table, so that a
// disconnected minority does not mistake itself for the whole fleet.
func (a *Agent) Reached(since time.Time) (reached, members int) {
	all := a.table.Members()
	self := a.table.Self().Id
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range all {
		if m.State == rpc.MemberState_LEFT {
			continue
		}
		members++
		if m.Id == self || !a.lastAnswered[m.Id].Before(since) {
			reached++
		}
	}
	return reached, members
}

// Run probes and exchanges until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.done)
	var group conc.WaitGroup
	group.Go(func() { runPeriodically(ctx, exchangeInterval, a.exchangeRound) })
	group.Go(func() { runPeriodically(ctx, probeInterval, a.probeRound) })
	group.Wait()
}

// exchangeRound exchanges with this round's peers concurrently.
func (a *Agent) exchangeRound(ctx context.Context) {
	a.table.Expire()
	addresses := a.roundAddresses()
	var group conc.WaitGroup
	for _, address := range addresses {
		group.Go(func() { _ = a.exchange(ctx, address) })
	}
	group.Wait()
}

// roundAddresses returns the addresses of this round's peers; none in the rounds that a large fleet
// skips. Every seedRoundInterval rounds, or if no other member is alive, the seeds are included.
func (a *Agent) roundAddresses() []string {
	alive := a.table.Alive()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rounds++
	if len(alive) > smallFleet && a.rounds%largeFleetFactor != 0 {
		return nil
	}
	var addresses []string
	for _, m := range exchangePeers(a.opts.Self, alive, a.random) {
		addresses = append(addresses, m.PeerAddress)
	}
	if len(alive) > 1 && a.rounds%seedRoundInterval != 0 {
		return addresses
	}
	for _, seed := range a.opts.Seeds() {
		if seed != a.opts.Self.PeerAddress && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// exchange does one exchange with the daemon at address.
func (a *Agent) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	self := a.table.Self()
	request := &rpc.ExchangeRequest{
		From:            self.Id,
		FromIncarnation: self.Incarnation,
		Members:         a.outgoingMembers(),
		Reports:         a.opts.Reports.Digest(),
		MembersHash:     a.table.Hash(),
		ConfigNext:      uint64(a.opts.Configuration.Next()),
		WantConfig:      a.opts.Configuration.Stale(),
		Quarantine:      a.opts.Quarantine.report(),
	}
	start := time.Now()
	reply, err := a.opts.Dial(address).Exchange(ctx, request)
	if err != nil {
		return failure.At(failure.Unavailable, "exchange", address, err)
	}
	a.table.Merge(reply.Members)
	a.opts.Reports.Merge(reply.Reports, start)
	a.opts.Quarantine.merge(address, reply.Quarantine)
	a.updateConfig(int64(reply.ConfigNext), reply.ConfigCheckpoint)
	a.recordAnswer(address, start)
	return nil
}

// outgoingMembers returns the entries to send: the changed ones, or all if the tables have differed
// for too many rounds.
func (a *Agent) outgoingMembers() []*rpc.Member {
	a.mu.Lock()
	full := a.mismatchedExchanges >= fullSyncRounds
	if full {
		a.mismatchedExchanges = 0
	}
	a.mu.Unlock()
	if full {
		return a.table.Members()
	}
	return a.table.PendingChanges(maxChangesPerExchange)
}

// recordAnswer records that the member at address answered a call started at start.
func (a *Agent) recordAnswer(address string, start time.Time) {
	members := a.table.Members()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range members {
		if m.PeerAddress == address {
			a.lastAnswered[m.Id] = start
		}
	}
}

// updateConfig records a peer's configuration offset and installs its checkpoint, if any.
func (a *Agent) updateConfig(next int64, checkpoint []byte) {
	if len(checkpoint) > 0 {
		// An invalid checkpoint changes nothing; the log or another peer provides the
		// configuration.
		_ = a.opts.Configuration.Install(checkpoint)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleetNext = max(a.fleetNext, next)
}

// Exchange implements rpc.Peer.
func (a *Agent) Exchange(_ context.Context, request *rpc.ExchangeRequest) (*rpc.ExchangeReply, error) {
	start := time.Now()
	a.table.Merge(request.Members)
	a.updateConfig(int64(request.ConfigNext), nil)
	a.opts.Quarantine.merge(request.From, request.Quarantine)
	reply := &rpc.ExchangeReply{
		Quarantine: a.opts.Quarantine.report(),
		Reports:    a.opts.Reports.Since(request.Reports),
		ConfigNext: uint64(a.opts.Configuration.Next()),
	}
	reply.Members = a.membersFor(request)
	if request.WantConfig && request.ConfigNext < reply.ConfigNext {
		if data, err := a.opts.Configuration.Encoded(); err == nil {
			reply.ConfigCheckpoint = data
		}
	}
	reply.HeldMicros = uint64(time.Since(start).Microseconds())
	return reply, nil
}

// membersFor returns the entries for a peer: the changed ones, or all if the peer is new or the
// tables have differed for too many rounds.
func (a *Agent) membersFor(request *rpc.ExchangeRequest) []*rpc.Member {
	if request.MembersHash == a.table.Hash() {
		a.mu.Lock()
		a.mismatchedExchanges = 0
		a.mu.Unlock()
		return nil
	}
	a.mu.Lock()
	a.mismatchedExchanges++
	full := a.mismatchedExchanges >= fullSyncRounds
	a.mu.Unlock()
	if full || a.needsFullTable(request) {
		return a.table.Members()
	}
	changed := a.table.PendingChanges(maxChangesPerExchange)
	if m, ok := a.table.Member(request.From); ok && m.State != rpc.MemberState_ALIVE {
		// A suspected member must learn of the suspicion to refute it.
		changed = append(changed, m)
	}
	return changed
}

func (a *Agent) needsFullTable(request *rpc.ExchangeRequest) bool {
	const minVersion = 2
	_, known := a.table.Member(request.From)
	return !known || len(request.Members) > 0 && a.table.Version() < minVersion
}

// Probe implements rpc.Peer.
func (a *Agent) Probe(ctx context.Context, request *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	if request.Target == "" {
		return a.answerProbe(request), nil
	}
	m, ok := a.table.Member(request.Target)
	if !ok {
		return &rpc.ProbeReply{}, nil
	}
	reached := a.probe(ctx, m) == nil
	return &rpc.ProbeReply{Incarnation: a.table.Self().Incarnation, Reached: reached}, nil
}

// answerProbe confirms that this daemon is alive and refutes a suspicion.
func (a *Agent) answerProbe(request *rpc.ProbeRequest) *rpc.ProbeReply {
	self := a.table.Self()
	if request.AccusedIncarnation >= self.Incarnation {
		accused := proto.CloneOf(self)
		accused.State = rpc.MemberState_SUSPECT
		accused.Incarnation = request.AccusedIncarnation
		a.table.Merge([]*rpc.Member{accused})
	}
	return &rpc.ProbeReply{Incarnation: a.table.Self().Incarnation, Reached: true}
}

// probeRound probes this round's targets concurrently.
func (a *Agent) probeRound(ctx context.Context) {
	var group conc.WaitGroup
	for _, m := range probeTargets(a.opts.Self, a.table.Alive()) {
		group.Go(func() { a.probeOrSuspect(ctx, m) })
	}
	group.Wait()
}

// probeOrSuspect probes m directly, then through other members, and suspects it if all probes fail.
func (a *Agent) probeOrSuspect(ctx context.Context, m *rpc.Member) {
	if a.probe(ctx, m) == nil {
		return
	}
	if !a.reachedByOthers(ctx, m.Id) && ctx.Err() == nil {
		a.table.Suspect(m.Id)
	}
}

// reachedByOthers asks other members, concurrently, to probe an unresponsive one.
func (a *Agent) reachedByOthers(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	var reached atomic.Bool
	var group conc.WaitGroup
	for _, helper := range a.helpers(target) {
		group.Go(func() {
			request := &rpc.ProbeRequest{From: a.opts.Self.Id, Target: target}
			reply, err := a.opts.Dial(helper.PeerAddress).Probe(ctx, request)
			if err == nil && reply.Reached {
				reached.Store(true)
				cancel()
			}
		})
	}
	group.Wait()
	return reached.Load()
}

// probe asks m whether it is alive and applies a refutation in the answer.
func (a *Agent) probe(ctx context.Context, m *rpc.Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &rpc.ProbeRequest{From: a.opts.Self.Id}
	if m.State == rpc.MemberState_SUSPECT {
		request.AccusedIncarnation = m.Incarnation
	}
	start := time.Now()
	reply, err := a.opts.Dial(m.PeerAddress).Probe(ctx, request)
	if err != nil {
		return failure.At(failure.Unavailable, "probe member", m.Id, err)
	}
	a.recordAnswer(m.PeerAddress, start)
	if reply.Incarnation > m.Incarnation {
		renewed := proto.CloneOf(m)
		renewed.Incarnation = reply.Incarnation
		renewed.State = rpc.MemberState_ALIVE
		a.table.Merge([]*rpc.Member{renewed})
	}
	return nil
}

// helpers returns the members through which to probe target.
func (a *Agent) helpers(target string) []*rpc.Member {
	candidates := slices.DeleteFunc(slices.Clone(a.table.Alive()), func(m *rpc.Member) bool {
		return m.Id == target || m.Id == a.opts.Self.Id || m.State != rpc.MemberState_ALIVE
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(indirectProbes, len(candidates))]
}

// runPeriodically calls work immediately and then at each interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		work(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
