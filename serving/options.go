// Package serving is the daemon: it joins what follows the configuration and
// the workers, what talks to peers, what leads and what relays.
package serving

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/leadership"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/relay"
)

// MemberList is where daemons find each other after a start.
type MemberList struct {
	// Register notes this daemon for others to find.
	Register func(ctx context.Context, self peers.Identity) error
	// Read returns the daemons of a data hall noted so far; some may be gone.
	Read func(ctx context.Context, hall string) ([]peers.Identity, error)
}

// Bounds is what the operator promises callers, as far as it binds the daemon.
type Bounds struct {
	// Grace is the time from the order to stop until the process is killed.
	Grace time.Duration
	// Revoke is the time after which a key that was taken away must not work
	// anywhere; zero when that is not strict.
	Revoke time.Duration
	// Leave is the time after which a worker that left the list must get no
	// more requests; zero for none.
	Leave time.Duration
	// Heartbeat is how often workers write to the list.
	Heartbeat time.Duration
	// Stall is how long a replica that lost a member stands still.
	Stall   time.Duration
	Ceiling formation.Ceiling
	// Held is how many bytes of requests and answers the daemon may hold; zero for no bound.
	Held   int64
	Budget relay.BudgetOptions
	// Empty is the time after the operator's word within which a closed data hall gets
	// no more requests.
	Empty time.Duration
	// BearHalls is how many data halls may be lost at once, HallWeight what a share of
	// requests that such a loss takes costs a plan, beside one that is lost now. Zero
	// leaves it out, which is the usual: at 0.2 and 0.02 plans served callers worse on days
	// on which no hall was lost (docs/design/domain-plan.md).
	BearHalls  int
	HallWeight float64
	WarmUp     WarmUpBound
	// Limits bounds the requests that a worker which named a limit gets.
	Limits backpressure.Bound
	// KeepEntries is for how long callers keep an answer of Entries.
	KeepEntries time.Duration
}

// WarmUpBound bounds the requests that a cold worker gets in any one second from all
// daemons together: Burst times what its service says that it bears, and Slack more.
type WarmUpBound struct {
	Burst, Slack float64
}

// Options configures a Server.
type Options struct {
	Self peers.Identity
	// FirstLife tells that this process runs since the fleet first started.
	FirstLife bool
	// Regions holds the region of each data hall.
	Regions map[string]string
	Bounds  Bounds
	Names   relay.Names

	Source   fleet.Source
	Decode   func(data []byte) (*fleet.Config, error)
	Registry leadership.Registry
	// Era returns how often the store came back from a copy, as far as it told; nil for a
	// store that never does.
	Era func() int64
	// StoreCalls returns how many calls to the store were made so far, by what they were
	// for; nil for a store that does not count them.
	StoreCalls func() map[string]int64
	MemberList MemberList
	Orders     formation.Orders
	// Marks keeps the requests that are quarantined.
	Marks MarkStore

	// Transport carries datagrams between daemons; without one they go by UDP.
	Transport peers.Transport
	// Ask carries what daemons ask each other, and ServePeers serves it until ctx ends;
	// without them that goes by HTTP at the addresses of daemons.
	Ask        http.RoundTripper
	ServePeers func(ctx context.Context, handler http.Handler)
	// DialWorker opens connections to workers; nil for TCP.
	DialWorker func(ctx context.Context, network, address string) (net.Conn, error)
	// Suspended returns for how long the machine was suspended in all; nil for one that never
	// is.
	Suspended func() time.Duration
	// Metrics is the address for metrics; empty for none.
	Metrics string
	Logger  hclog.Logger
}
