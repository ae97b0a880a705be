package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

var errDaemonOff = errors.New("the daemon is off")

const (
	// smallLink and largeLink are the bandwidths of machines, in bytes per second: 20 and 200
	// Mbit/s.
	smallLink = 20e6 / 8
	largeLink = 200e6 / 8
	// maxQueueDelay is the longest time that a datagram waits for a link. linkDelay is the latency
	// of the link.
	maxQueueDelay = 100 * time.Millisecond
	linkDelay     = 1400 * time.Microsecond
	// replicaCount is the number of replicas that the daemons send requests to.
	replicaCount = 132
)

// network connects simulated daemons by links of limited bandwidth, in virtual time.
type network struct {
	mu       sync.Mutex
	random   *rand.Rand
	lossRate float64
	daemons  map[string]*simDaemon
	ctx      context.Context
}

// simDaemon is an agent with its link.
type simDaemon struct {
	net      *network
	agent    *Agent
	linkRate float64
	inbox    chan []byte
	stop     context.CancelFunc
	// isOff is set for a daemon that neither sends nor receives. linkIdleAt is when the daemon's
	// link will have sent all queued datagrams.
	isOff      bool
	linkIdleAt time.Time
	// side is the side of a network partition that the daemon is on.
	side      int
	bytesSent int
	// dropped counts datagrams dropped at a full link. largestDatagram is the size of the largest
	// datagram sent, in bytes.
	dropped, largestDatagram int
	claim                    *Claim
	isLeaving                bool
	isReady                  bool
	demand                   float64
	loads                    Loads
	news                     []News
	// loadsMeasuredAt is when the loads in the latest summary were measured on average. It is only
	// set by the goroutine that receives datagrams.
	loadsMeasuredAt time.Time
}

func newNetwork(ctx context.Context, seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, seed)), daemons: make(map[string]*simDaemon), ctx: ctx}
}

// add starts a daemon in a hall on a machine of the given capacity.
func (n *network) add(t *testing.T, hall string, number, capacity int) *simDaemon {
	t.Helper()
	id := fmt.Sprintf("front-%s-%d", hall, number)
	d := &simDaemon{net: n, linkRate: smallLink, inbox: make(chan []byte, 1<<14), isReady: true, demand: 1}
	if capacity > 200 {
		d.linkRate = largeLink
	}
	n.mu.Lock()
	for range 5 {
		epoch := 1<<28 + n.random.Int64N(replicaCount)
		d.loads = append(d.loads, Load{Replica: fleet.KeyOf("model", epoch), InFlight: 1, PendingPromptTokens: n.random.IntN(4000)})
	}
	n.mu.Unlock()
	self := Identity{ID: id, Incarnation: time.Now().UnixMilli(), Zone: hall, Address: id + ":1", ServingAddress: id + ":2", Capacity: capacity, Build: "01234567"}
	agent, err := NewAgent(Options{
		Self: self, Transport: Transport{Send: d.send, Receive: d.receive, Close: func() error { return nil }},
		FillHeartbeat: d.fillHeartbeat, OnHeartbeat: func(*Peer) {}, OnNews: func(_ *Peer, m *News) { d.handleNews(m) },
		OnSummary: func(_ string, s Summary, now time.Time) {
			d.loadsMeasuredAt = now.Add(-time.Duration(s.Age) * time.Millisecond)
		},
		OnSent: func(string, int) {}, Logger: hclog.NewNullLogger(),
	})
	assert.NilError(t, err)
	d.agent = agent
	ctx, stop := context.WithCancel(n.ctx)
	d.stop = stop
	n.mu.Lock()
	n.daemons[self.Address] = d
	n.mu.Unlock()
	go agent.Run(ctx)
	return d
}

// addFleet starts perHall daemons in each of several halls. The last largePerHall of each hall run
// on larger machines. All daemons know each other's identities, as if read from the store.
func (n *network) addFleet(t *testing.T, halls, perHall, largePerHall int) []*simDaemon {
	t.Helper()
	var all []*simDaemon
	for hall := range halls {
		for i := range perHall {
			capacity := 192
			if i >= perHall-largePerHall {
				capacity = 800
			}
			all = append(all, n.add(t, fmt.Sprintf("hall%d", hall), i, capacity))
		}
	}
	for _, d := range all {
		for _, other := range all {
			d.agent.Table().Learn(other.agent.opts.Self, time.Now())
		}
	}
	return all
}

func (d *simDaemon) fillHeartbeat(h *Heartbeat, _ time.Time) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	h.Ready, h.Leaving, h.OwnClaim, h.ConfigAge, h.WorkersAge = d.isReady, d.isLeaving, d.claim, 100, 100
	h.Demand = map[string]float64{"m": d.demand}
	h.Loads = d.loads
}

// handleNews records decisions. A relay forwards those that are new to it.
func (d *simDaemon) handleNews(m *News) {
	d.net.mu.Lock()
	isKnown := d.claim != nil || slices.ContainsFunc(d.news, func(n News) bool { return n.Decisions.To == m.Decisions.To })
	if !isKnown {
		d.news = append(d.news, *m)
	}
	d.net.mu.Unlock()
	if !isKnown && d.agent.Role() == Relay {
		d.agent.SendNews([]News{*m}, []News{*m}, false, time.Now())
	}
}

func (d *simDaemon) send(to string, datagram []byte) error {
	n := d.net
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if d.linkIdleAt.Before(now) {
		d.linkIdleAt = now
	}
	if d.linkIdleAt.Sub(now) > maxQueueDelay {
		d.dropped++
		return nil
	}
	d.linkIdleAt = d.linkIdleAt.Add(time.Duration(float64(len(datagram)) / d.linkRate * float64(time.Second)))
	d.bytesSent += len(datagram)
	d.largestDatagram = max(d.largestDatagram, len(datagram))
	other, ok := n.daemons[to]
	if d.isOff || !ok || other.side != d.side || n.random.Float64() < n.lossRate {
		return nil
	}
	copied := slices.Clone(datagram)
	time.AfterFunc(d.linkIdleAt.Sub(now)+linkDelay, func() { other.enqueue(copied) })
	return nil
}

func (d *simDaemon) enqueue(datagram []byte) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	if !d.isOff {
		select {
		case d.inbox <- datagram:
		default:
		}
	}
}

func (d *simDaemon) receive(buffer []byte) (int, error) {
	select {
	case datagram := <-d.inbox:
		return copy(buffer, datagram), nil
	case <-d.net.ctx.Done():
		return 0, errDaemonOff
	}
}

// update runs change under the network's lock.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// sendRates returns how many bytes per second each daemon sends, averaged over a period.
func (n *network) sendRates(all []*simDaemon, period time.Duration) map[*simDaemon]float64 {
	before := make(map[*simDaemon]int)
	n.update(func() {
		for _, d := range all {
			before[d] = d.bytesSent
		}
	})
	time.Sleep(period)
	rates := make(map[*simDaemon]float64)
	n.update(func() {
		for _, d := range all {
			rates[d] = float64(d.bytesSent-before[d]) / period.Seconds()
		}
	})
	return rates
}

// aliveIDs returns the ids of the daemons that this one considers alive.
func (d *simDaemon) aliveIDs() []string {
	var ids []string
	for _, p := range d.agent.Table().Alive(time.Now()) {
		ids = append(ids, p.ID)
	}
	return ids
}

func (d *simDaemon) id() string { return d.agent.opts.Self.ID }

func (d *simDaemon) hall() string { return d.agent.opts.Self.Zone }
