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
	"quartzshelf.dev/proxy"
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
	// StopGracePeriod is the time between the signal to stop and the process being killed.
	StopGracePeriod time.Duration
	// RevocationBound is the time after which a revoked key must be rejected by all daemons; zero
	// for no strict bound.
	RevocationBound time.Duration
	// RemovedWorkerBound is the time after which a worker removed from the list must get no more
	// requests; zero for no bound.
	RemovedWorkerBound time.Duration
	// SettleTime is how long the store must have served this daemon before RemovedWorkerBound binds
	// it.
	SettleTime time.Duration
	// WorkerHeartbeatInterval is the interval at which workers update their entries in the list.
	WorkerHeartbeatInterval time.Duration
	// StallTimeout is how long a replica that lost a member may make no progress before it is
	// dissolved.
	StallTimeout time.Duration
	LoadLimit    formation.LoadLimit
	// MaxBufferedBytes is the number of bytes of requests and responses that the daemon may hold in
	// memory; zero for no limit.
	MaxBufferedBytes int64
	Budget           proxy.RetryBudget
	// HallEmptyBound is the time after which a data hall that the operator closed must get no more
	// requests.
	HallEmptyBound time.Duration
	// ToleratedHallLosses is the number of data halls whose failure at the same time the leader's
	// plans take into account. HallLossWeight is the cost of requests lost in such a failure,
	// relative to requests lost now; zero makes plans ignore such failures.
	ToleratedHallLosses int
	HallLossWeight      float64
	WarmUp              WarmUpBound
	// LimitBound is the bound on requests to workers that reported a limit.
	LimitBound backpressure.Bound
	// AddressTTL is how long callers may keep a result of AddressesFor.
	AddressTTL time.Duration
}

// WarmUpBound limits the number of requests that all daemons together send to a cold worker within
// any one second. The limit is Burst times the rate that the worker's service declares, plus Slack.
type WarmUpBound struct {
	Burst, Slack float64
}

// Options configures a Server.
type Options struct {
	Self peers.Identity
	// RunningSinceFleetStart reports that this process has been running since the fleet first
	// started.
	RunningSinceFleetStart bool
	// Regions maps each data hall to its region.
	Regions map[string]string
	Bounds  Bounds
	Names   proxy.HeaderNames

	Source   fleet.Source
	Decode   func(data []byte) (*fleet.Config, error)
	Registry leadership.Registry
	// StoreEra returns how many times the store was restored from a copy, as far as the store has
	// reported it. It is nil for a store that is never restored.
	StoreEra func() int64
	// StoreCalls returns the number of calls to the store so far, by purpose; nil for a store that
	// does not count them.
	StoreCalls func() map[string]int64
	MemberList MemberList
	Orders     formation.WorkerClient
	// QuarantineMarks stores the marks of quarantined requests.
	QuarantineMarks QuarantineMarkStore

	// Transport carries datagrams between daemons; if unset, they use UDP.
	Transport peers.Transport
	// PeerTransport carries requests between daemons, and ServePeers serves them until ctx ends. If
	// unset, HTTP is used at the daemons' addresses.
	PeerTransport http.RoundTripper
	ServePeers    func(ctx context.Context, handler http.Handler)
	// DialWorker opens connections to workers, and DialPeer those to the serving addresses of other
	// daemons; nil for TCP.
	DialWorker, DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// Suspended returns the total time for which the machine was suspended. It is nil for a machine
	// that is never suspended.
	Suspended func() time.Duration
	// Metrics is the address that serves metrics; empty to disable them.
	Metrics string
	Logger  hclog.Logger
}
