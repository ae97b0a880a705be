package peers

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/common/failure"
)

const (
	// beatEvery is the time between two beats to the same daemon.
	beatEvery = 200 * time.Millisecond
	// heldUpAfter is how late a beat must be for this process to have stood still.
	heldUpAfter = 3 * beatEvery
	// fanout bounds the datagrams of one round; in larger fleets each daemon
	// is told in every second round, or every third, and so on.
	fanout = 24
	// leaderFanout is the same for a leader, on whose word the others rest.
	leaderFanout = 96
	// A datagram begins with its format, the sender's clock, and the
	// receiver's clock as it stood in the last datagram heard from it.
	// The rest is JSON, deflated.
	formatByte   = 3
	headerLength = 1 + 8 + 8
	maxDatagram  = 60 << 10
	// heldFor is how long a daemon counts as holding what it showed that it had
	// heard: several turns of a fleet of a hundred daemons, so that one that was
	// restarted soon gets whole beats.
	heldFor = 2 * time.Second
)

// Options configures an Agent.
type Options struct {
	Self Identity
	// Compose fills in what this daemon tells now.
	Compose func(b *Beat, now time.Time)
	// Heard is called with each new beat.
	Heard  func(p *Peer)
	Logger hclog.Logger
}

// Agent sends and receives beats.
type Agent struct {
	opts  Options
	conn  *net.UDPConn
	table *Table
	start time.Time
	done  chan struct{}
	round int

	mu sync.Mutex
	// clocks holds, by address, the newest clock heard from a daemon.
	clocks map[string]int64
	// held holds, by address, the newest clock of this daemon that the other one
	// has heard.
	held map[string]time.Duration
	// grant is the epoch of the grant told last, changedAt the clock at which it
	// was first told.
	grant     int64
	changedAt time.Duration
}

// NewAgent opens the port of self for datagrams.
func NewAgent(opts Options) (*Agent, error) {
	address, err := net.ResolveUDPAddr("udp4", opts.Self.Address)
	if err != nil {
		return nil, failure.At(failure.Invalid, "open peers' port", opts.Self.Address, err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, failure.At(failure.Unavailable, "open peers' port", opts.Self.Address, err)
	}
	return &Agent{
		opts: opts, conn: conn, table: NewTable(opts.Self), start: time.Now(),
		clocks: make(map[string]int64), held: make(map[string]time.Duration), done: make(chan struct{}),
	}, nil
}

// Table returns what is known of the other daemons.
func (a *Agent) Table() *Table { return a.table }

// Done is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run sends and receives until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.done)
	var group conc.WaitGroup
	group.Go(a.receive)
	group.Go(func() { a.sendAll(ctx) })
	<-ctx.Done()
	// Closing the port ends receive; nothing can be done about an error.
	_ = a.conn.Close()
	group.Wait()
}

func (a *Agent) sendAll(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	last := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if gap := now.Sub(last); gap > heldUpAfter {
			a.table.HeldUp(now, gap)
		}
		last = now
		a.Send(now)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Send tells this round's daemons what this one believes. It is also called
// out of turn, with news that cannot wait.
func (a *Agent) Send(now time.Time) {
	b := Beat{Identity: a.opts.Self}
	a.opts.Compose(&b, now)
	clock := now.Sub(a.start)
	a.noteGrant(b.Grant.Epoch, clock)
	// Most rounds need the brief form alone.
	whole := sync.OnceValue(func() []byte { return a.datagram(&b, clock) })
	brief := sync.OnceValue(func() []byte { return a.datagram(b.brief(), clock) })
	for _, address := range a.turn(a.table.destinations(now), b.Leads != nil) {
		form := whole
		if a.holds(address, clock) {
			form = brief
		}
		datagram := form()
		if datagram == nil {
			continue
		}
		binary.BigEndian.PutUint64(datagram[9:], uint64(a.clockOf(address)))
		if to, err := netip.ParseAddrPort(address); err == nil {
			// A datagram may be lost anyway.
			_, _ = a.conn.WriteToUDPAddrPort(datagram, to)
		}
	}
}

// datagram returns a beat as it is sent, but for the receiver's clock.
func (a *Agent) datagram(b *Beat, clock time.Duration) []byte {
	body, err := encodeBeat(b)
	if err != nil || len(body) > maxDatagram {
		a.opts.Logger.Error("beat not sent", "bytes", len(body), "error", err)
		return nil
	}
	datagram := make([]byte, headerLength, headerLength+len(body))
	datagram[0] = formatByte
	binary.BigEndian.PutUint64(datagram[1:], uint64(clock))
	return append(datagram, body...)
}

// noteGrant notes when the grant that is told changes.
func (a *Agent) noteGrant(epoch int64, clock time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.grant {
		a.grant, a.changedAt = epoch, clock
	}
}

// holds reports whether a daemon has shown of late that it heard this one since
// the grant changed: it then holds all that a brief beat leaves out.
func (a *Agent) holds(address string, clock time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	heard := a.held[address]
	return heard > 0 && heard >= a.changedAt && clock-heard < heldFor
}

// turn returns the daemons of this round. The leader is told in every one.
func (a *Agent) turn(all []string, leads bool) []string {
	most := fanout
	if leads {
		most = leaderFanout
	}
	if len(all) <= most {
		return all
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.round++
	first := a.round * most % len(all)
	chosen := make([]string, 0, most+1)
	for i := range most {
		chosen = append(chosen, all[(first+i)%len(all)])
	}
	if leader := a.table.leaderAddress(); leader != "" && !slices.Contains(chosen, leader) {
		chosen = append(chosen, leader)
	}
	return chosen
}

func (a *Agent) clockOf(address string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clocks[address]
}

func (a *Agent) receive() {
	buffer := make([]byte, maxDatagram+headerLength)
	for {
		n, _, err := a.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		a.take(buffer[:n], time.Now())
	}
}

// take takes one datagram. What is not understood is passed over.
func (a *Agent) take(datagram []byte, now time.Time) {
	if len(datagram) < headerLength || datagram[0] != formatByte {
		return
	}
	b, err := decodeBeat(datagram[headerLength:])
	if err != nil || b.ID == "" {
		return
	}
	if b.Brief && !a.table.complete(&b) || b.Address == "" {
		// This daemon has yet to hear a whole beat of that one.
		return
	}
	echo := time.Duration(binary.BigEndian.Uint64(datagram[9:]))
	if echo < 0 || echo > now.Sub(a.start) {
		echo = 0
	}
	a.mu.Lock()
	a.clocks[b.Address] = int64(binary.BigEndian.Uint64(datagram[1:]))
	a.held[b.Address] = echo
	a.mu.Unlock()
	var sentAfter time.Time
	if echo > 0 {
		sentAfter = a.start.Add(echo)
	}
	if a.table.Hear(b, now, sentAfter) {
		a.opts.Heard(&Peer{Beat: b, HeardAt: now, SentAfter: sentAfter})
	}
}
