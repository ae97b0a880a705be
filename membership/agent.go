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

// Timing of an agent.
const (
	// exchangeEvery is the time between exchanges in a fleet of up to
	// smallFleet members; larger ones exchange largeFactor times less often.
	exchangeEvery   = 500 * time.Millisecond
	largeFactor     = 2
	exchangeTimeout = 800 * time.Millisecond
	probeEvery      = time.Second
	probeTimeout    = 400 * time.Millisecond
	// newsLimit is how many changed entries go with one exchange.
	newsLimit = 32
	// indirectProbes is how many others are asked to probe a silent member.
	indirectProbes = 2
	// DefaultSuspectFor is how long a suspected member may take to refute.
	DefaultSuspectFor = 2 * time.Second
	// seedRounds is after how many exchanges the seeds are tried again.
	seedRounds = 20
	// fullSyncRounds is how many exchanges with a differing table may pass
	// before the whole table is sent.
	fullSyncRounds = 8
)

// Reports is the store of domain reports that spreads with membership.
type Reports interface {
	// Digest lists what the store holds.
	Digest() []*rpc.ReportDigest
	// Since returns the reports that a holder of digest lacks.
	Since(digest []*rpc.ReportDigest) []*rpc.DomainReport
	// Merge takes reports; the time that they have left counts from base.
	Merge(reports []*rpc.DomainReport, base time.Time)
}

// Configuration is the folded configuration as far as it spreads with membership.
type Configuration interface {
	// Next returns one past the highest offset folded.
	Next() int64
	// Stale reports whether the log has not been read for a while, so that
	// peers should give their configuration.
	Stale() bool
	// Encoded returns the configuration as a checkpoint.
	Encoded() ([]byte, error)
	// Install takes a checkpoint from a peer.
	Install(data []byte) error
}

// Quarantine is what daemons know of requests that end workers, as far as it spreads with
// membership. Both functions are nil where nothing is to spread.
type Quarantine struct {
	Report func() []*rpc.QuarantineEntry
	// Merge takes what a peer reported just now.
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
	// Seeds returns addresses of daemons to begin with.
	Seeds func() []string
	// Dial returns a client of the daemon at an address.
	Dial          func(address string) rpc.Peer
	Reports       Reports
	Configuration Configuration
	// Quarantine spreads what is known of requests that end workers.
	Quarantine Quarantine
	SuspectFor time.Duration
	// Random must not be used elsewhere.
	Random *rand.Rand
}

// Agent keeps a daemon's view of the fleet up to date.
type Agent struct {
	opts  Options
	table *Table
	done  chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	mismatch int
	rounds   int
	// contacts holds, for each member, when it last answered.
	contacts map[string]time.Time
	// fleetNext is the highest configuration offset heard of, plus one.
	fleetNext int64
}

// NewAgent returns an agent; Run makes it work.
func NewAgent(opts Options) *Agent {
	if opts.SuspectFor == 0 {
		opts.SuspectFor = DefaultSuspectFor
	}
	return &Agent{
		opts:     opts,
		table:    NewTable(opts.Self, opts.SuspectFor),
		random:   opts.Random,
		contacts: make(map[string]time.Time),
		done:     make(chan struct{}),
	}
}

// Table returns the membership table.
func (a *Agent) Table() *Table { return a.table }

// Done is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// FleetNext returns one past the highest configuration offset that any peer
// was heard to hold.
func (a *Agent) FleetNext() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleetNext
}

// Reached returns how many members, this one included, answered since the
// given time, and how many members there are that have not departed. Dead
// members count as members until they are forgotten, so that a minority that
// was cut off does not take itself for the whole.
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
		if m.Id == self || !a.contacts[m.Id].Before(since) {
			reached++
		}
	}
	return reached, members
}

// Run probes and exchanges until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.done)
	var group conc.WaitGroup
	group.Go(func() { every(ctx, exchangeEvery, a.exchangeRound) })
	group.Go(func() { every(ctx, probeEvery, a.probeRound) })
	group.Wait()
}

// exchangeRound exchanges with this round's peers side by side.
func (a *Agent) exchangeRound(ctx context.Context) {
	a.table.Expire()
	addresses := a.roundAddresses()
	var group conc.WaitGroup
	for _, address := range addresses {
		group.Go(func() { _ = a.exchange(ctx, address) })
	}
	group.Wait()
}

// roundAddresses returns the addresses of this round's peers, now and then or
// when alone with the seeds.
func (a *Agent) roundAddresses() []string {
	alive := a.table.Alive()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rounds++
	if len(alive) > smallFleet && a.rounds%largeFactor != 0 {
		return nil
	}
	var addresses []string
	for _, m := range exchangePeers(a.opts.Self, alive, a.random) {
		addresses = append(addresses, m.PeerAddress)
	}
	if len(alive) > 1 && a.rounds%seedRounds != 0 {
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
		Members:         a.outgoing(),
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
	a.hearConfig(int64(reply.ConfigNext), reply.ConfigCheckpoint)
	a.contact(address, start)
	return nil
}

// outgoing returns the entries to send: those that changed, or all of them
// when the tables have differed for long.
func (a *Agent) outgoing() []*rpc.Member {
	a.mu.Lock()
	full := a.mismatch >= fullSyncRounds
	if full {
		a.mismatch = 0
	}
	a.mu.Unlock()
	if full {
		return a.table.Members()
	}
	return a.table.News(newsLimit)
}

// contact notes that the member at address answered a call begun at start.
func (a *Agent) contact(address string, start time.Time) {
	members := a.table.Members()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range members {
		if m.PeerAddress == address {
			a.contacts[m.Id] = start
		}
	}
}

// hearConfig notes a peer's configuration and installs it when it is newer.
func (a *Agent) hearConfig(next int64, checkpoint []byte) {
	if len(checkpoint) > 0 {
		// A checkpoint that does not decode changes nothing; the log or
		// another peer brings the configuration.
		_ = a.opts.Configuration.Install(checkpoint)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleetNext = max(a.fleetNext, next)
}

// Exchange answers a peer's exchange. It is part of rpc.Peer.
func (a *Agent) Exchange(_ context.Context, request *rpc.ExchangeRequest) (*rpc.ExchangeReply, error) {
	start := time.Now()
	a.table.Merge(request.Members)
	a.hearConfig(int64(request.ConfigNext), nil)
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

// membersFor returns the entries for a peer: all of them when the peer is new
// to us or tables have differed for long, else those that changed.
func (a *Agent) membersFor(request *rpc.ExchangeRequest) []*rpc.Member {
	if request.MembersHash == a.table.Hash() {
		a.mu.Lock()
		a.mismatch = 0
		a.mu.Unlock()
		return nil
	}
	a.mu.Lock()
	a.mismatch++
	full := a.mismatch >= fullSyncRounds
	a.mu.Unlock()
	if full || a.needsAll(request) {
		return a.table.Members()
	}
	news := a.table.News(newsLimit)
	if m, ok := a.table.Member(request.From); ok && m.State != rpc.MemberState_ALIVE {
		// The accused must hear of it to refute.
		news = append(news, m)
	}
	return news
}

func (a *Agent) needsAll(request *rpc.ExchangeRequest) bool {
	const strangers = 2
	_, known := a.table.Member(request.From)
	return !known || len(request.Members) > 0 && a.table.Version() < strangers
}

// Probe answers a probe. It is part of rpc.Peer.
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

// answerProbe tells that this daemon is alive and refutes an accusation.
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

// probeRound probes this daemon's targets side by side.
func (a *Agent) probeRound(ctx context.Context) {
	var group conc.WaitGroup
	for _, m := range probeTargets(a.opts.Self, a.table.Alive()) {
		group.Go(func() { a.check(ctx, m) })
	}
	group.Wait()
}

// check probes m, then through others, and suspects it when nobody reaches it.
func (a *Agent) check(ctx context.Context, m *rpc.Member) {
	if a.probe(ctx, m) == nil {
		return
	}
	if !a.reachedByOthers(ctx, m.Id) && ctx.Err() == nil {
		a.table.Suspect(m.Id)
	}
}

// reachedByOthers asks helpers, side by side, to probe a silent member.
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

// probe asks m whether it is alive and takes a refutation from the answer.
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
	a.contact(m.PeerAddress, start)
	if reply.Incarnation > m.Incarnation {
		renewed := proto.CloneOf(m)
		renewed.Incarnation = reply.Incarnation
		renewed.State = rpc.MemberState_ALIVE
		a.table.Merge([]*rpc.Member{renewed})
	}
	return nil
}

// helpers returns members to probe target through.
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

// every calls work at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, work func(context.Context)) {
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
