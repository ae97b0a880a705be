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
	// exchangeInterval is the interval between rounds of exchanges.
	exchangeInterval = 500 * time.Millisecond
	// roundsPerLargeFleetExchange is the number of rounds per exchange in fleets of more than
	// smallFleetSize members. Smaller fleets exchange in every round.
	roundsPerLargeFleetExchange = 2
	exchangeTimeout             = 800 * time.Millisecond
	probeInterval               = time.Second
	probeTimeout                = 400 * time.Millisecond
	// maxChangesPerExchange is the maximum number of changed entries in one exchange.
	maxChangesPerExchange = 32
	// indirectProbes is the number of other members that are asked to probe an unresponsive one.
	indirectProbes = 2
	// DefaultSuspicionTimeout is how long a suspected member has to refute the suspicion.
	DefaultSuspicionTimeout = 2 * time.Second
	// seedRoundInterval is the number of rounds between exchanges with the seeds.
	seedRoundInterval = 20
	// fullSyncRounds is the number of exchanges in a row in which the two tables differ before the
	// whole table is sent.
	fullSyncRounds = 8
)

// Reports is a store of domain reports. Exchanges send peers the reports that they lack.
type Reports interface {
	// Digest returns a summary of the reports held, by which a peer finds out which ones are
	// missing.
	Digest() []*rpc.ReportDigest
	// MissingFrom returns the reports that are newer than those in a peer's digest.
	MissingFrom(digest []*rpc.ReportDigest) []*rpc.DomainReport
	// Merge adds reports from a peer. The remaining times in them count from base.
	Merge(reports []*rpc.DomainReport, base time.Time)
}

// Configuration gives access to this daemon's configuration. Exchanges send it to peers that
// request it.
type Configuration interface {
	// Next returns one past the offset of the newest log record that the configuration includes.
	Next() int64
	// IsStale reports whether the log has not been read recently, so that peers should send their
	// configuration.
	IsStale() bool
	// Encoded returns the configuration as a checkpoint.
	Encoded() ([]byte, error)
	// Install applies a checkpoint from a peer.
	Install(data []byte) error
}

// Quarantine gives access to this daemon's records of requests that crash workers. Exchanges send
// them to peers. Both functions may be nil.
type Quarantine struct {
	// Report returns the entries to send.
	Report func() []*rpc.QuarantineEntry
	// Merge adds the entries that a peer sent.
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
	Quarantine    Quarantine
	// SuspicionTimeout is how long a suspected member has to refute the suspicion; zero means
	// DefaultSuspicionTimeout.
	SuspicionTimeout time.Duration
	// Random is the source of random numbers. It must not be used elsewhere.
	Random *rand.Rand
}

// Agent keeps a daemon's membership table up to date.
type Agent struct {
	opts  Options
	table *Table
	done  chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// mismatchedExchanges counts the exchanges with differing tables since the table last equalled
	// a peer's or was last sent as a whole.
	mismatchedExchanges int
	// rounds counts the rounds of exchanges.
	rounds int
	// lastAnswered holds, by member id, the start of the last call that the member answered.
	lastAnswered map[string]time.Time
	// fleetConfigNext is one past the highest configuration offset that any peer reported.
	fleetConfigNext int64
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

// Done returns a channel that is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// FleetConfigNext returns one past the highest configuration offset that any peer reported.
func (a *Agent) FleetConfigNext() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleetConfigNext
}

// CountReached returns how many members answered a call that was started at or after the given
// time, and the number of all members. This daemon counts as reached. Members that have left count
// in neither number, but dead ones count as members, so that a disconnected minority does not
// mistake itself for the whole fleet.
func (a *Agent) CountReached(since time.Time) (reached, members int) {
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

// roundAddresses returns the addresses of the daemons to exchange with in this round. Large fleets
// skip some rounds, in which it returns none. The seeds are included every seedRoundInterval
// rounds, and whenever no other member is alive.
func (a *Agent) roundAddresses() []string {
	alive := a.table.Alive()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rounds++
	if len(alive) > smallFleetSize && a.rounds%roundsPerLargeFleetExchange != 0 {
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

// exchange sends membership changes and digests to the daemon at address. It merges the members,
// reports, quarantine entries and configuration in the reply.
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
		WantConfig:      a.opts.Configuration.IsStale(),
		Quarantine:      a.opts.Quarantine.report(),
	}
	start := time.Now()
	reply, err := a.opts.Dial(address).Exchange(ctx, request)
	if err != nil {
		return failure.Wrap(failure.Unavailable, "exchange", address, err)
	}
	a.table.Merge(reply.Members)
	a.opts.Reports.Merge(reply.Reports, start)
	a.opts.Quarantine.merge(address, reply.Quarantine)
	a.updateConfig(int64(reply.ConfigNext), reply.ConfigCheckpoint)
	a.recordAnswer(address, start)
	return nil
}

// outgoingMembers returns the member entries to send in a request. These are the changed ones, or
// all after fullSyncRounds exchanges in which the tables differed.
func (a *Agent) outgoingMembers() []*rpc.Member {
	a.mu.Lock()
	sendAll := a.mismatchedExchanges >= fullSyncRounds
	if sendAll {
		a.mismatchedExchanges = 0
	}
	a.mu.Unlock()
	if sendAll {
		return a.table.Members()
	}
	return a.table.PendingChanges(maxChangesPerExchange)
}

// recordAnswer records that the member at address answered a call that was started at the given
// time.
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

// updateConfig records the configuration offset that a peer reported, and installs the peer's
// checkpoint if there is one.
func (a *Agent) updateConfig(next int64, checkpoint []byte) {
	if len(checkpoint) > 0 {
		// An invalid checkpoint changes nothing; the log or another peer provides the
		// configuration.
		_ = a.opts.Configuration.Install(checkpoint)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleetConfigNext = max(a.fleetConfigNext, next)
}

// Exchange implements rpc.Peer. It merges a peer's request and returns what the peer lacks.
func (a *Agent) Exchange(_ context.Context, request *rpc.ExchangeRequest) (*rpc.ExchangeReply, error) {
	start := time.Now()
	a.table.Merge(request.Members)
	a.updateConfig(int64(request.ConfigNext), nil)
	a.opts.Quarantine.merge(request.From, request.Quarantine)
	reply := &rpc.ExchangeReply{
		Quarantine: a.opts.Quarantine.report(),
		Reports:    a.opts.Reports.MissingFrom(request.Reports),
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

// membersFor returns the member entries to send in a reply. There are none if the tables are equal.
// Otherwise they are the changed ones, or all if the peer needs the full table or after
// fullSyncRounds exchanges in which the tables differed.
func (a *Agent) membersFor(request *rpc.ExchangeRequest) []*rpc.Member {
	if request.MembersHash == a.table.Hash() {
		a.mu.Lock()
		a.mismatchedExchanges = 0
		a.mu.Unlock()
		return nil
	}
	a.mu.Lock()
	a.mismatchedExchanges++
	sendAll := a.mismatchedExchanges >= fullSyncRounds
	a.mu.Unlock()
	if sendAll || a.needsFullTable(request) {
		return a.table.Members()
	}
	changed := a.table.PendingChanges(maxChangesPerExchange)
	if m, ok := a.table.Member(request.From); ok && m.State != rpc.MemberState_ALIVE {
		// A suspected member must learn of the suspicion to refute it.
		changed = append(changed, m)
	}
	return changed
}

// needsFullTable reports whether a peer must get all entries. This is so if the peer is unknown, or
// if it sent entries while this daemon's table has hardly changed since the start.
func (a *Agent) needsFullTable(request *rpc.ExchangeRequest) bool {
	const minVersion = 2
	_, known := a.table.Member(request.From)
	return !known || len(request.Members) > 0 && a.table.Version() < minVersion
}

// Probe implements rpc.Peer. It answers for this daemon, or probes the request's target if there is
// one.
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

// answerProbe confirms that this daemon is alive. If the prober suspects this daemon, it raises the
// daemon's incarnation to refute the suspicion.
func (a *Agent) answerProbe(request *rpc.ProbeRequest) *rpc.ProbeReply {
	self := a.table.Self()
	if request.AccusedIncarnation >= self.Incarnation {
		accusation := proto.CloneOf(self)
		accusation.State = rpc.MemberState_SUSPECT
		accusation.Incarnation = request.AccusedIncarnation
		a.table.Merge([]*rpc.Member{accusation})
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

// probeOrSuspect probes m directly, then through other members, and marks it as suspected if all
// probes fail.
func (a *Agent) probeOrSuspect(ctx context.Context, m *rpc.Member) {
	if a.probe(ctx, m) == nil {
		return
	}
	if !a.reachedByOthers(ctx, m.Id) && ctx.Err() == nil {
		a.table.Suspect(m.Id)
	}
}

// reachedByOthers asks other members to probe an unresponsive one, and reports whether any of them
// reached it.
func (a *Agent) reachedByOthers(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	var reached atomic.Bool
	var group conc.WaitGroup
	for _, helper := range a.chooseHelpers(target) {
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

// probe sends a probe to m and returns an error if m does not answer. If m answers with a higher
// incarnation, the table lists it as alive again.
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
		return failure.Wrap(failure.Unavailable, "probe member", m.Id, err)
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

// chooseHelpers returns random members through which to probe target.
func (a *Agent) chooseHelpers(target string) []*rpc.Member {
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
