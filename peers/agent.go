package peers

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/common/awake"
	"quartzshelf.dev/common/failure"
)

const (
	// heartbeatEvery is the time between two heartbeats to the same daemon.
	heartbeatEvery = 200 * time.Millisecond
	// heldUpAfter is how late a heartbeat must be for this process to have stood still.
	heldUpAfter = 3 * heartbeatEvery
	// A datagram begins with its format, the sender's clock, and the
	// receiver's clock as it stood in the last heartbeat heard from it.
	// The rest is a message.
	formatByte   = 4
	headerLength = 1 + 8 + 8
	// maxDatagram bounds a datagram, in bytes; the transport takes no larger one.
	maxDatagram = 60 << 10
)

// The kinds of datagrams, as they are counted.
const (
	kindHeartbeat = "heartbeat"
	kindReports   = "reports"
	kindNews      = "news"
)

// The causes for which datagrams are passed over, as they are counted.
const (
	causeFraming  = "framing"
	causeDecoding = "decoding"
	causeFormat   = "format"
)

// Options configures an Agent.
type Options struct {
	Self Identity
	// Transport carries the datagrams; without one the agent opens UDP at the
	// address of self.
	Transport Transport
	// Compose fills in what this daemon reports of itself now.
	Compose func(h *Heartbeat, now time.Time)
	// Heard is called with each new heartbeat.
	Heard func(p *Peer)
	// News is called with what a peer passes on.
	News func(p *Peer, n *News)
	// Summed is called with each summary that counts for this daemon, and its hall;
	// the hall is empty where it sums up all daemons, this one included.
	Summed func(hall string, s Summary, now time.Time)
	// Counted is called with each datagram that is sent, by its kind and bytes, PassedOver with
	// each that came and is not understood, by the cause; nil for nobody.
	Counted    func(kind string, bytes int)
	PassedOver func(cause string)
	// Suspended returns for how long the machine was suspended in all; nil for one that never
	// is. Clocks that are told and echoed count it.
	Suspended func() time.Duration
	Logger    hclog.Logger
}

// Agent sends and receives reports.
type Agent struct {
	opts   Options
	table  *Table
	clocks *clocks
	sums   *summaries
	start  time.Time
	done   chan struct{}
	role   atomic.Int32
	count  atomic.Int32

	mu    sync.Mutex
	round int
	// layout is that of the newest round, and roleSince when this daemon took its role.
	layout    layout
	roleSince time.Time
	// passedOver holds of whom it was logged that its datagrams are not understood, by cause.
	passedOver map[string]bool
}

// passedOverMost bounds how many senders are remembered whose datagrams are not understood.
const passedOverMost = 256

// NewAgent returns an agent; Run makes it work.
func NewAgent(opts Options) (*Agent, error) {
	opts.Self.Format = OwnFormat()
	if opts.Suspended == nil {
		opts.Suspended = awake.Never
	}
	if opts.Transport.Send == nil {
		transport, err := ListenUDP(opts.Self.Address)
		if err != nil {
			return nil, err
		}
		opts.Transport = transport
	}
	return &Agent{
		opts: opts, table: NewTable(opts.Self), clocks: newClocks(), sums: newSummaries(),
		start: time.Now(), done: make(chan struct{}), passedOver: make(map[string]bool),
	}, nil
}

// Table returns what is known of the other daemons.
func (a *Agent) Table() *Table { return a.table }

// Role returns the daemon's part in passing reports on.
func (a *Agent) Role() Role { return Role(a.role.Load()) }

// Daemons returns how many daemons there are, this one included, as it last knew.
func (a *Agent) Daemons() int { return max(int(a.count.Load()), 1) }

// Done is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run sends and receives until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.done)
	var group conc.WaitGroup
	group.Go(a.receive)
	group.Go(func() { a.sendAll(ctx) })
	<-ctx.Done()
	// Closing the transport ends receive; nothing can be done about an error.
	_ = a.opts.Transport.Close()
	group.Wait()
}

func (a *Agent) sendAll(ctx context.Context) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	last := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if gap := now.Sub(last); gap > heldUpAfter {
			a.table.HeldUp(now, gap)
		}
		last = now
		a.sendRound(now)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// sendRound sends this round's heartbeats and, as a relay, reports on others.
func (a *Agent) sendRound(now time.Time) {
	own := a.compose(now)
	l, round := a.arrange(own, now)
	if l.role != Relay {
		a.deliver(kindHeartbeat, l.reached(own.Leads != nil), now, a.message(own))
		return
	}
	told, others := l.inTurn(round)
	a.deliver(kindReports, told, now, a.hallMessages(own, now, round)...)
	a.deliver(kindHeartbeat, others, now, a.message(own))
	a.deliver(kindReports, l.across, now, a.acrossMessages(own, now, round)...)
}

// compose returns what this daemon reports of itself now.
func (a *Agent) compose(now time.Time) *Heartbeat {
	own := &Heartbeat{Identity: a.opts.Self}
	a.opts.Compose(own, now)
	a.clocks.noteGrant(own.Grant.Epoch, a.clock(now))
	return own
}

// Arrange decides anew whom to report to, as after many daemons became known at once.
func (a *Agent) Arrange(now time.Time) { a.arrange(a.compose(now), now) }

// arrange decides whom to report to in a new round.
func (a *Agent) arrange(own *Heartbeat, now time.Time) (layout, int) {
	size := a.size(own, now)
	a.count.Store(int32(size))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.round++
	before := a.Role()
	a.layout = a.table.layout(now, standing{role: before, since: a.roleSince}, size, a.round)
	if a.layout.role != before {
		a.roleSince = now
	}
	a.role.Store(int32(a.layout.role))
	return a.layout, a.round
}

// current returns the layout of the newest round.
func (a *Agent) current() layout {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.layout
}

// Send reports out of turn what cannot wait for the next round.
func (a *Agent) Send(now time.Time) {
	own := a.compose(now)
	a.deliver(kindHeartbeat, a.current().reached(own.Leads != nil), now, a.message(own))
}

// SendNews passes on what has just become known: a leader to all it reports to, a
// relay within its hall. The members of its hall get news of their own.
func (a *Agent) SendNews(all, forMembers []News, leads bool, now time.Time) {
	complete, members := a.current().audience(leads)
	a.sendNews(all, complete, now)
	a.sendNews(forMembers, members, now)
}

func (a *Agent) sendNews(all []News, to []string, now time.Time) {
	for i := range all {
		m := a.message(nil)
		m.News = &all[i]
		a.deliver(kindNews, to, now, m)
	}
}

// deliver sends messages to daemons. Each gets heartbeats in the form that
// completes what it holds.
func (a *Agent) deliver(kind string, addresses []string, now time.Time, all ...*message) {
	clock := a.clock(now)
	for _, m := range all {
		whole := sync.OnceValue(func() []byte { return a.datagram(m, clock) })
		brief := sync.OnceValue(func() []byte { return a.datagram(m.brief(), clock) })
		for _, address := range addresses {
			form := whole
			if a.clocks.holds(address, clock) {
				form = brief
			}
			a.send(kind, address, form())
		}
	}
}

// brief returns the message with the brief form of its heartbeat.
func (m *message) brief() *message {
	if m.Heartbeat == nil {
		return m
	}
	short := *m
	short.Heartbeat = m.Heartbeat.brief()
	return &short
}

func (a *Agent) send(kind, address string, datagram []byte) {
	if datagram == nil {
		return
	}
	binary.BigEndian.PutUint64(datagram[9:], uint64(a.clocks.of(address)))
	if err := a.opts.Transport.Send(address, datagram); err != nil {
		// A datagram may be lost anyway; the next round sends another.
		a.opts.Logger.Debug("datagram not sent", "to", address, "error", err)
		return
	}
	a.opts.Counted(kind, len(datagram))
}

// datagram returns a message as it is sent, but for the receiver's clock.
func (a *Agent) datagram(m *message, clock time.Duration) []byte {
	body, err := encode(m)
	if err == nil && len(body) > maxDatagram {
		err = failure.New(failure.Invalid, "encode message", m.ID, "%d bytes are too many", len(body))
	}
	if err != nil {
		a.opts.Logger.Error("message not sent", "error", err)
		return nil
	}
	datagram := make([]byte, headerLength, headerLength+len(body))
	datagram[0] = formatByte
	binary.BigEndian.PutUint64(datagram[1:], uint64(clock))
	return append(datagram, body...)
}

func (a *Agent) receive() {
	buffer := make([]byte, maxDatagram+headerLength)
	for {
		n, err := a.opts.Transport.Receive(buffer)
		if err != nil {
			return
		}
		a.take(buffer[:n], time.Now())
	}
}

// take takes one datagram. What is not understood is passed over.
func (a *Agent) take(datagram []byte, now time.Time) {
	if len(datagram) < headerLength || datagram[0] != formatByte {
		a.passOver(causeFraming, "", nil)
		return
	}
	m, err := decode(datagram[headerLength:])
	if err != nil || m.ID == "" {
		a.passOver(causeDecoding, m.ID, err)
		return
	}
	if m.Heartbeat != nil && !a.takeHeartbeat(m.Heartbeat, datagram, now) {
		return
	}
	p, ok := a.table.heard(m.ID, m.Incarnation)
	if !ok {
		// Nothing whole was heard of this life yet.
		return
	}
	if m.Heartbeat != nil && len(m.Known) == 0 {
		// An answer that names relays is not answered.
		a.redirect(p, now)
	}
	for _, identity := range m.Known {
		a.table.Learn(identity, now)
	}
	for _, s := range m.Statuses {
		a.table.Report(s, now)
	}
	a.takeSummaries(p, &m, now)
	if m.News != nil {
		a.opts.News(p, m.News)
	}
}

// passOver counts a datagram that is not understood, and logs the first one of a sender.
func (a *Agent) passOver(cause, sender string, err error) {
	if a.opts.PassedOver != nil {
		a.opts.PassedOver(cause)
	}
	a.mu.Lock()
	told := a.passedOver[cause+sender] || len(a.passedOver) >= passedOverMost
	if !told {
		a.passedOver[cause+sender] = true
	}
	a.mu.Unlock()
	if !told {
		a.opts.Logger.Warn("datagrams not understood", "cause", cause, "from", sender, "error", err)
	}
}

// redirect names the relays of the own hall to a new daemon that takes this member for one:
// it read the member list before they were in it, would hear of nobody, and after a second
// take itself for alone and read all that the store holds.
func (a *Agent) redirect(p *Peer, now time.Time) {
	l := a.current()
	isRelay := func(relay Identity) bool { return relay.ID == p.ID }
	if l.role != Member || p.Zone != a.opts.Self.Zone || now.Sub(p.addedAt) > newFor || slices.ContainsFunc(l.relays, isRelay) {
		return
	}
	m := a.message(a.compose(now))
	m.Known = l.relays
	a.deliver(kindHeartbeat, []string{p.Address}, now, m)
}

// clock returns this daemon's clock, which peers echo. It counts suspensions: what waited in
// this machine meanwhile is so much older.
func (a *Agent) clock(now time.Time) time.Duration { return now.Sub(a.start) + a.opts.Suspended() }

// takeHeartbeat takes a heartbeat, and reports false if it cannot be understood yet.
func (a *Agent) takeHeartbeat(h *Heartbeat, datagram []byte, now time.Time) bool {
	if h.Brief && !a.table.complete(h) || h.Address == "" {
		// This daemon has yet to hear a whole heartbeat of that one.
		return false
	}
	if !h.Format.IsUnderstood() {
		a.passOver(causeFormat, h.ID, nil)
		return false
	}
	if !h.Format.isClear() {
		a.passOver(causeFormat, h.ID, nil)
	}
	echo := time.Duration(binary.BigEndian.Uint64(datagram[9:]))
	clock := a.clock(now)
	if echo < 0 || echo > clock {
		echo = 0
	}
	a.clocks.heard(h.Address, int64(binary.BigEndian.Uint64(datagram[1:])), echo)
	var sentAfter time.Time
	if echo > 0 {
		sentAfter = now.Add(echo - clock)
	}
	if a.table.Hear(*h, now, sentAfter) {
		a.opts.Heard(&Peer{Heartbeat: *h, HeardAt: now, SentAfter: sentAfter})
	}
	return true
}

// takeSummaries takes the summaries that count in this daemon's role: relays add
// up those of other halls, members take the sum from a relay.
func (a *Agent) takeSummaries(p *Peer, m *message, now time.Time) {
	role := a.Role()
	for _, s := range []*Summary{m.Hall, m.Fleet} {
		if s != nil && s.Part == 0 {
			a.table.NoteFormat(s.version(), now)
		}
	}
	if m.Hall != nil && p.Zone != a.opts.Self.Zone {
		a.sums.set(p.Zone, *m.Hall, now)
		if role == Relay {
			a.opts.Summed(p.Zone, *m.Hall, now)
		}
	}
	if m.Fleet != nil {
		a.sums.set(wholeFleet, *m.Fleet, now)
		if role == Member {
			a.opts.Summed(wholeFleet, *m.Fleet, now)
		}
	}
}
