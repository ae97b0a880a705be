// Package serving implements the daemon. It connects the followers of the configuration and the
// worker list, the exchange with peers, leadership and the relaying of requests.
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

// MemberList is the list in the store by which daemons discover each other after a start.
type MemberList struct {
	// Register adds this daemon to the list.
	Register func(ctx context.Context, self peers.Identity) error
	// Read returns the registered daemons of a data hall; some may no longer exist.
	Read func(ctx context.Context, hall string) ([]peers.Identity, error)
}

// Bounds holds the limits that the operator guarantees to callers, as far as they concern the
// daemon.
type Bounds struct {
	// The time between the signal to stop and the process being killed.
	Grace time.Duration
	// The time after which a revoked key must be rejected everywhere; zero for no strict bound.
	Revoke time.Duration
	// The time after which a worker removed from the list must get no more requests; zero for no
	// bound.
	Leave time.Duration
	// The interval at which workers update their entries in the list.
	Heartbeat time.Duration
	// How long a replica that lost a member stands still.
	Stall   time.Duration
	Ceiling formation.Ceiling
	// The number of bytes of requests and responses that the daemon may hold; zero for no limit.
	Held   int64
	Budget relay.BudgetOptions
	// The time after the operator's order within which a closed data hall gets no more requests.
	Empty time.Duration
	// Plans take into account that BearHalls data halls may fail at once. HallWeight is the cost
	// of the share of requests lost in such a failure, relative to requests lost now. Zero, the
	// default, disables this.
	BearHalls  int
	HallWeight float64
	WarmUp     WarmUpBound
	// The bound on requests to workers that reported a limit.
	Limits backpressure.Bound
	// How long callers may keep a result of Entries.
	KeepEntries time.Duration
}

// WarmUpBound limits the requests that a cold worker gets in any one second from all daemons
// together: Burst times the rate that its service declares, plus Slack.
type WarmUpBound struct {
	Burst, Slack float64
}

// Options configures a Server.
type Options struct {
	Self peers.Identity
	// Reports that the process has been running since the fleet first started.
	FirstLife bool
	// Regions maps each data hall to its region.
	Regions map[string]string
	Bounds  Bounds
	Names   relay.Names

	Source   fleet.Source
	Decode   func(data []byte) (*fleet.Config, error)
	Registry leadership.Registry
	// Era returns how many times the store was restored from a copy, as far as it reported; nil
	// for a store that never is.
	Era func() int64
	// StoreCalls returns the number of calls to the store so far, by purpose; nil for a store that
	// does not count them.
	StoreCalls func() map[string]int64
	MemberList MemberList
	Orders     formation.Orders
	// Marks stores the marks of quarantined requests.
	Marks MarkStore

	// Transport carries datagrams between daemons; if unset, they use UDP.
	Transport peers.Transport
	// Ask carries requests between daemons, and ServePeers serves them until ctx ends. If unset,
	// HTTP is used at the daemons' addresses.
	Ask        http.RoundTripper
	ServePeers func(ctx context.Context, handler http.Handler)
	// DialWorker opens connections to workers; nil for TCP.
	DialWorker func(ctx context.Context, network, address string) (net.Conn, error)
	// Suspended returns the total time for which the machine was suspended; nil for a machine that
	// never is.
	Suspended func() time.Duration
	// Metrics is the address that serves metrics; empty to disable them.
	Metrics string
	Logger  hclog.Logger
}
