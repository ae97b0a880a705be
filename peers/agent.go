package peers

import (
	"context"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/suspension"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same daemon.
	heartbeatInterval = 200 * time.Millisecond
	// processPauseThreshold is the longest normal time between two rounds. After a longer one this
	// process counts as having been paused.
	processPauseThreshold = 3 * heartbeatInterval
	// framingVersion is the first byte of a datagram. It is followed by a reading of the sender's
	// clock and the newest reading of the receiver's clock that the sender knows, eight bytes each.
	// They form the header of headerLength bytes. The encoded message follows.
	framingVersion = 4
	headerLength   = 1 + 8 + 8
	// maxDatagramBytes limits the size of a datagram; the transport accepts no larger ones.
	maxDatagramBytes = 60 << 10
)

// The kinds of datagrams, as reported to Options.OnSent.
const (
	kindHeartbeat = "heartbeat"
	kindReports   = "reports"
	kindNews      = "news"
)

// The causes for which datagrams are dropped, as reported to Options.OnDropped.
const (
	causeFraming  = "framing"
	causeDecoding = "decoding"
	causeFormat   = "format"
)

// Options configures an Agent.
type Options struct {
	Self Identity
	// Transport carries the datagrams; if unset, the agent opens a UDP socket at the address of
	// Self.
	Transport Transport
	// FillHeartbeat sets what this daemon currently reports of itself.
	FillHeartbeat func(h *Heartbeat, now time.Time)
	// OnHeartbeat is called with each new heartbeat.
	OnHeartbeat func(p *Peer)
	// OnNews is called with the news that a peer forwards.
	OnNews func(p *Peer, n *News)
	// OnSummary is called with each summary that is relevant in this daemon's role, and the data
	// hall that it covers. hall is empty for a summary of all daemons, this one included.
	OnSummary func(hall string, s Summary, now time.Time)
	// OnSent is called with the kind and size of each datagram sent. OnDropped is called with the
	// cause for each received datagram that is not understood; it may be nil.
	OnSent    func(kind string, bytes int)
	OnDropped func(cause string)
	// Suspended returns the total time for which the machine was suspended. If it is nil, the
	// machine is assumed never to be suspended. The clocks exchanged in datagrams include it.
	Suspended func() time.Duration
	Logger    hclog.Logger
}

// Agent exchanges heartbeats, reports and news with other daemons.
type Agent struct {
	opts              Options
	table             *Table
	clocks            *clocks
	receivedSummaries *summaries
	startedAt         time.Time
	done              chan struct{}
	role              atomic.Int32
	daemonCount       atomic.Int32
	// usableShare and reportedShare hold the bits of Shares.Usable and Shares.Reported as of the
	// latest round.
	usableShare, reportedShare atomic.Uint64

	mu     sync.Mutex
	round  int
	shares *Shares
	// layout is the layout of the latest round, roleSince the time when this daemon's role began.
	layout    layout
	roleSince time.Time
	// loggedDrops holds the pairs of cause and sender whose dropped datagrams were already logged.
	loggedDrops map[string]bool
}

// maxLoggedDrops limits the number of entries in Agent.loggedDrops.
const maxLoggedDrops = 256

// NewAgent returns an agent. It does nothing until Run is called.
func NewAgent(opts Options) (*Agent, error) {
	opts.Self.Format = OwnFormat()
	if opts.Suspended == nil {
		opts.Suspended = suspension.Never
	}
	if opts.Transport.Send == nil {
		transport, err := ListenUDP(opts.Self.Address)
		if err != nil {
			return nil, err
		}
		opts.Transport = transport
	}
	now := time.Now()
	return &Agent{
		opts: opts, table: NewTable(opts.Self), clocks: newClocks(), receivedSummaries: newSummaries(),
		shares: NewShares(now), startedAt: now, done: make(chan struct{}), loggedDrops: make(map[string]bool),
	}, nil
}

// Table returns the table of the other daemons.
func (a *Agent) Table() *Table { return a.table }

// Role returns the daemon's current role in forwarding reports.
func (a *Agent) Role() Role { return Role(a.role.Load()) }

// DaemonCount returns the number of daemons, this one included, as of the latest round.
func (a *Agent) DaemonCount() int { return max(int(a.daemonCount.Load()), 1) }

// Share returns the share of a limit of the whole fleet that this daemon may use, as of the latest
// round. It allows for daemons that are not heard; see Shares.
func (a *Agent) Share() float64 { return math.Float64frombits(a.usableShare.Load()) }

// Done returns a channel that is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run sends and receives until ctx ends, then closes the transport.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.done)
	var group conc.WaitGroup
	group.Go(a.receiveLoop)
	group.Go(func() { a.sendLoop(ctx) })
	<-ctx.Done()
	// Closing the transport ends receiveLoop; its error cannot be handled.
	_ = a.opts.Transport.Close()
	group.Wait()
}

func (a *Agent) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	lastRound := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if gap := now.Sub(lastRound); gap > processPauseThreshold {
			a.table.NotePause(now, gap)
		}
		lastRound = now
		a.sendRound(now)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// sendRound sends this round's heartbeats and, if the daemon is a relay, reports on others.
func (a *Agent) sendRound(now time.Time) {
	own := a.composeHeartbeat(now)
	l, round := a.startRound(own, now)
	if l.role != Relay {
		a.deliver(kindHeartbeat, l.recipients(own.OwnClaim != nil), now, a.newMessage(own))
		return
	}
	full, others := l.splitByTurn(round)
	withSummary := l.sendsSummary(round)
	a.deliver(kindReports, full, now, a.hallMessages(own, now, round, withSummary)...)
	a.deliver(kindHeartbeat, others, now, a.newMessage(own))
	a.deliver(kindReports, l.otherHalls, now, a.crossHallMessages(own, now, withSummary)...)
}

// composeHeartbeat returns this daemon's current heartbeat.
func (a *Agent) composeHeartbeat(now time.Time) *Heartbeat {
	own := &Heartbeat{Identity: a.opts.Self, Share: math.Float64frombits(a.reportedShare.Load())}
	a.opts.FillHeartbeat(own, now)
	a.clocks.recordGrant(own.Grant.Epoch, a.clock(now))
	return own
}

// UpdateLayout recomputes the recipients of reports without waiting for the next round, for
// example after many daemons became known at once.
func (a *Agent) UpdateLayout(now time.Time) { a.startRound(a.composeHeartbeat(now), now) }

// startRound starts a new round: it recomputes the layout and returns it with the round's number.
func (a *Agent) startRound(own *Heartbeat, now time.Time) (layout, int) {
	size := a.fleetSize(own, now)
	a.daemonCount.Store(int32(size))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateShares(size, now)
	a.round++
	previous := a.Role()
	a.layout = a.table.layout(now, previousRole{role: previous, since: a.roleSince}, size, a.round)
	if a.layout.role != previous {
		a.roleSince = now
	}
	a.role.Store(int32(a.layout.role))
	return a.layout, a.round
}

// updateShares recomputes this daemon's share of the fleet's limits. The caller must hold the mutex.
func (a *Agent) updateShares(size int, now time.Time) {
	view := ShareView{Known: a.table.EverKnownIDs(), Size: size}
	for _, p := range a.table.Alive(now) {
		view.Heard = append(view.Heard, p.ID)
		if p.Share > 0 && (view.LowestReported == 0 || p.Share < view.LowestReported) {
			view.LowestReported = p.Share
		}
	}
	a.shares.Update(a.opts.Self.ID, view, now)
	a.usableShare.Store(math.Float64bits(a.shares.Usable()))
	a.reportedShare.Store(math.Float64bits(a.shares.Reported(size)))
}

// currentLayout returns the layout of the latest round.
func (a *Agent) currentLayout() layout {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.layout
}

// SendHeartbeat sends a heartbeat at once, without waiting for the next round.
func (a *Agent) SendHeartbeat(now time.Time) {
	own := a.composeHeartbeat(now)
	a.deliver(kindHeartbeat, a.currentLayout().recipients(own.OwnClaim != nil), now, a.newMessage(own))
}

// SendNews sends news to the daemons that this one reports to. A relay sends it within its data
// hall, and to other halls only if it leads. Members of a relay's hall get forMembers instead of
// all.
func (a *Agent) SendNews(all, forMembers []News, leads bool, now time.Time) {
	complete, members := a.currentLayout().newsRecipients(leads)
	a.sendNews(all, complete, now)
	a.sendNews(forMembers, members, now)
}

func (a *Agent) sendNews(all []News, to []string, now time.Time) {
	for i := range all {
		m := a.newMessage(nil)
		m.News = &all[i]
		a.deliver(kindNews, to, now, m)
	}
}

// deliver sends each message to each address. Daemons that acknowledged a full heartbeat get brief
// ones.
func (a *Agent) deliver(kind string, addresses []string, now time.Time, messages ...*message) {
	clock := a.clock(now)
	for _, m := range messages {
		full := sync.OnceValue(func() []byte { return a.encodeDatagram(m, clock) })
		brief := sync.OnceValue(func() []byte { return a.encodeDatagram(m.toBrief(), clock) })
		for _, address := range addresses {
			datagram := full
			if a.clocks.hasAcknowledged(address, clock) {
				datagram = brief
			}
			a.send(kind, address, datagram())
		}
	}
}

// toBrief returns the message with the brief form of its heartbeat.
func (m *message) toBrief() *message {
	if m.Heartbeat == nil {
		return m
	}
	short := *m
	short.Heartbeat = m.Heartbeat.toBrief()
	return &short
}

func (a *Agent) send(kind, address string, datagram []byte) {
	if datagram == nil {
		return
	}
	binary.BigEndian.PutUint64(datagram[9:], uint64(a.clocks.latest(address)))
	if err := a.opts.Transport.Send(address, datagram); err != nil {
		// Datagrams may be lost anyway; the next round sends another one.
		a.opts.Logger.Debug("sending datagram failed", "to", address, "error", err)
		return
	}
	a.opts.OnSent(kind, len(datagram))
}

// encodeDatagram returns the datagram of a message. The caller must still set the receiver's clock
// in it. If the message cannot be encoded, encodeDatagram logs the error and returns nil.
func (a *Agent) encodeDatagram(m *message, clock time.Duration) []byte {
	body, err := encode(m)
	if err == nil && len(body) > maxDatagramBytes {
		err = failure.New(failure.Invalid, "encode message", m.ID, "%d bytes exceed the maximum of a datagram", len(body))
	}
	if err != nil {
		a.opts.Logger.Error("encoding message failed", "error", err)
		return nil
	}
	datagram := make([]byte, headerLength, headerLength+len(body))
	datagram[0] = framingVersion
	binary.BigEndian.PutUint64(datagram[1:], uint64(clock))
	return append(datagram, body...)
}

func (a *Agent) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes+headerLength)
	for {
		n, err := a.opts.Transport.Receive(buffer)
		if err != nil {
			return
		}
		a.handleDatagram(buffer[:n], time.Now())
	}
}

// handleDatagram processes one datagram. Datagrams that are not understood are dropped.
func (a *Agent) handleDatagram(datagram []byte, now time.Time) {
	if len(datagram) < headerLength || datagram[0] != framingVersion {
		a.recordDropped(causeFraming, "", nil)
		return
	}
	m, err := decode(datagram[headerLength:])
	if err != nil || m.ID == "" {
		a.recordDropped(causeDecoding, m.ID, err)
		return
	}
	if m.Heartbeat != nil && !a.handleHeartbeat(m.Heartbeat, datagram, now) {
		return
	}
	p, ok := a.table.peerWithHeartbeat(m.ID, m.Incarnation)
	if !ok {
		// No full heartbeat was received from this incarnation yet.
		return
	}
	if m.Heartbeat != nil && len(m.Identities) == 0 {
		// Replies that name relays get no reply themselves.
		a.redirect(p, now)
	}
	for _, identity := range m.Identities {
		a.table.Learn(identity, now)
	}
	for _, s := range m.Statuses {
		a.table.RecordStatus(s, now)
	}
	a.handleSummaries(p, &m, now)
	if m.News != nil {
		a.opts.OnNews(p, m.News)
	}
}

// recordDropped counts a datagram that is not understood, and logs the first one of each cause and
// sender.
func (a *Agent) recordDropped(cause, sender string, err error) {
	if a.opts.OnDropped != nil {
		a.opts.OnDropped(cause)
	}
	a.mu.Lock()
	skipsLog := a.loggedDrops[cause+sender] || len(a.loggedDrops) >= maxLoggedDrops
	if !skipsLog {
		a.loggedDrops[cause+sender] = true
	}
	a.mu.Unlock()
	if !skipsLog {
		a.opts.Logger.Warn("datagrams not understood", "cause", cause, "from", sender, "error", err)
	}
}

// redirect sends the identities of the hall's relays to a new daemon that reported to this member
// although it is no relay. Such a daemon does not know the relays yet. Without the reply it would
// receive no heartbeats, assume that it is alone and read everything from the store.
func (a *Agent) redirect(p *Peer, now time.Time) {
	l := a.currentLayout()
	isRelay := func(relay Identity) bool { return relay.ID == p.ID }
	if l.role != Member || p.Zone != a.opts.Self.Zone || now.Sub(p.addedAt) > newPeerPeriod || slices.ContainsFunc(l.hallRelays, isRelay) {
		return
	}
	m := a.newMessage(a.composeHeartbeat(now))
	m.Identities = l.hallRelays
	a.deliver(kindHeartbeat, []string{p.Address}, now, m)
}

// clock returns the time since the agent was created, including suspensions. Peers echo it. Because
// suspensions count, datagrams that waited in a suspended machine have the right age.
func (a *Agent) clock(now time.Time) time.Duration { return now.Sub(a.startedAt) + a.opts.Suspended() }

// handleHeartbeat processes a heartbeat. It reports false if the heartbeat cannot be used.
func (a *Agent) handleHeartbeat(h *Heartbeat, datagram []byte, now time.Time) bool {
	if h.Brief && !a.table.fillBrief(h) || h.Address == "" {
		// No full heartbeat was received from that daemon yet.
		return false
	}
	if !h.Format.IsUnderstood() {
		a.recordDropped(causeFormat, h.ID, nil)
		return false
	}
	if !h.Format.isValid() {
		a.recordDropped(causeFormat, h.ID, nil)
	}
	echo := time.Duration(binary.BigEndian.Uint64(datagram[9:]))
	clock := a.clock(now)
	if echo < 0 || echo > clock {
		echo = 0
	}
	a.clocks.record(h.Address, int64(binary.BigEndian.Uint64(datagram[1:])), echo)
	var sentAfter time.Time
	if echo > 0 {
		sentAfter = now.Add(echo - clock)
	}
	if a.table.RecordHeartbeat(*h, now, sentAfter) {
		a.opts.OnHeartbeat(&Peer{Heartbeat: *h, LastHeartbeatAt: now, SentAfter: sentAfter})
	}
	return true
}

// handleSummaries stores the summaries in a message and calls OnSummary with those that are
// relevant in this daemon's role. Relays need those of other halls, members that of the whole
// fleet.
func (a *Agent) handleSummaries(p *Peer, m *message, now time.Time) {
	role := a.Role()
	for _, s := range []*Summary{m.Hall, m.Fleet} {
		if s != nil && s.Part == 0 {
			a.table.NoteFormat(s.oldestFormat(), now)
		}
	}
	if m.Hall != nil && p.Zone != a.opts.Self.Zone {
		a.receivedSummaries.set(p.Zone, *m.Hall, now)
		if role == Relay {
			a.opts.OnSummary(p.Zone, *m.Hall, now)
		}
	}
	if m.Fleet != nil {
		a.receivedSummaries.set(wholeFleetKey, *m.Fleet, now)
		if role == Member {
			a.opts.OnSummary(wholeFleetKey, *m.Fleet, now)
		}
	}
}
