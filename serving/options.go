// Package serving implements the daemon. It connects the packages that read the store, exchange
// state with peers, elect a leader and relay requests.
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

// MemberList gives access to the list of daemons in the store. Starting daemons discover others by
// it.
type MemberList struct {
	// Register adds this daemon to the list.
	Register func(ctx context.Context, self peers.Identity) error
	// Read returns the registered daemons of a data hall; some may no longer exist.
	Read func(ctx context.Context, hall string) ([]peers.Identity, error)
}

// Bounds holds the time limits and other limits that the operator sets for the daemon.
type Bounds struct {
	// Grace is the time between the signal to stop and the process being killed.
	Grace time.Duration
	// Revoke is the time after which a revoked key must be rejected by all daemons; zero for no
	// strict bound.
	Revoke time.Duration
	// Leave is the time after which a worker removed from the list must get no more requests; zero
	// for no bound.
	Leave time.Duration
	// Heartbeat is the interval at which workers update their entries in the list.
	Heartbeat time.Duration
	// Stall is how long a replica that lost a member may make no progress before it is dissolved.
	Stall   time.Duration
	Ceiling formation.Ceiling
	// Held is the number of bytes of requests and responses that the daemon may hold in memory; zero
	// for no limit.
	Held   int64
	Budget relay.BudgetOptions
	// Empty is the time after which a data hall that the operator closed must get no more requests.
	Empty time.Duration
	// BearHalls is the number of data halls whose failure at the same time the leader's plans take
	// into account. HallWeight is the cost of requests lost in such a failure, relative to requests
	// lost now; zero makes plans ignore such failures.
	BearHalls  int
	HallWeight float64
	WarmUp     WarmUpBound
	// Limits is the bound on requests to workers that reported a limit.
	Limits backpressure.Bound
	// KeepEntries is how long callers may keep a result of Entries.
	KeepEntries time.Duration
}

// WarmUpBound limits the number of requests that all daemons together send to a cold worker within
// any one second. The limit is Burst times the rate that the worker's service declares, plus Slack.
type WarmUpBound struct {
	Burst, Slack float64
}

// Options configures a Server.
type Options struct {
	Self peers.Identity
	// FirstLife reports that this process has been running since the fleet first started.
	FirstLife bool
	// Regions maps each data hall to its region.
	Regions map[string]string
	Bounds  Bounds
	Names   relay.Names

	Source   fleet.Source
	Decode   func(data []byte) (*fleet.Config, error)
	Registry leadership.Registry
	// Era returns how many times the store was restored from a copy, as far as the store has
	// reported it. It is nil for a store that is never restored.
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
	// Suspended returns the total time for which the machine was suspended. It is nil for a machine
	// that is never suspended.
	Suspended func() time.Duration
	// Metrics is the address that serves metrics; empty to disable them.
	Metrics string
	Logger  hclog.Logger
}
