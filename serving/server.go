package serving

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/allowance"
	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/drain"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/headlimit"
	"quartzshelf.dev/common/suspension"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/leadership"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/proxy"
	"quartzshelf.dev/telemetry"
)

const (
	// revokeMargin is subtracted from Bounds.RevocationBound. A daemon whose configuration has not
	// been confirmed for the remaining time accepts no more keys.
	revokeMargin = 200 * time.Millisecond
	// headerTimeout limits the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle. With a shorter one, a caller could
	// send a request just as the daemon closes the connection.
	idleTimeout = time.Minute
	// listenPeriod is how long a daemon waits for heartbeats of others after it first read the
	// member list. Only after that may it lead, or assume that it is alone.
	listenPeriod = 700 * time.Millisecond
)

// Server implements the daemon: it relays callers' requests to workers and exchanges state with its
// peers.
type Server struct {
	opts        Options
	logger      hclog.Logger
	meter       *telemetry.Meter
	configCache *fleet.ConfigCache
	halls       *fleet.Halls
	inventory   *fleet.Inventory
	follower    *fleet.Follower
	agent       *peers.Agent
	elector     *leadership.Elector
	tracker     *proxy.Tracker
	proxy       *proxy.Proxy
	fetcher     *fetcher
	// warmUp limits the requests to cold workers.
	warmUp *allowance.Allowance
	// signals holds the backpressure signals of workers.
	signals *backpressure.Table
	// suspensionWatch detects suspensions of the machine.
	suspensionWatch *suspension.Watch
	// suspicions holds the replicas that stalled recently.
	suspicions *suspicions
	// smoothedDemand averages the fleet's demand for each model over time.
	smoothedDemand formation.WorkSmoother
	// shutdown is the schedule by which this daemon stops; nil while it does not.
	shutdown atomic.Pointer[proxy.Shutdown]
	// membersReadAt is when the member list of the own data hall was first read; nil before.
	// hasReadAllMembers is set once those of all halls have been read.
	membersReadAt     atomic.Pointer[time.Time]
	hasReadAllMembers atomic.Bool
	// isSettled is set once hasSettled has returned true. newestPeerConfig is the newest
	// configuration version that a peer reported.
	isSettled        atomic.Bool
	newestPeerConfig atomic.Int64
	// nextMemberRead is when the member list is to be read again.
	nextMemberRead time.Time
	// hallMembers is the own hall's member list as last read. registration is this daemon's entry
	// in it. needsMemberReread is set if the list has to be read again after this daemon
	// registered.
	hallMembers       []peers.Identity
	registration      registration
	needsMemberReread atomic.Bool
	// unreadHalls holds the other data halls whose member lists are yet to be read.
	unreadHalls []string
	readDelay   time.Duration
	startedAt   time.Time
	done        chan struct{}

	mu sync.Mutex
	// reconciler manages the replicas' groups while this daemon leads, and is nil otherwise.
	reconciler *formation.Reconciler
}

// New creates a daemon and opens its port for peers. The daemon does nothing until Run is called.
func New(opts Options) (*Server, error) {
	meter, err := telemetry.NewMeter()
	if err != nil {
		return nil, failure.Wrap(failure.Unavailable, "start metrics", opts.Metrics, err)
	}
	opts.Self.Format = peers.OwnFormat()
	if opts.Suspended == nil {
		opts.Suspended = suspension.Never
	}
	s := &Server{
		opts: opts, logger: opts.Logger, meter: meter, configCache: fleet.NewConfigCache(), halls: fleet.NewHalls(opts.Bounds.HallEmptyBound),
		suspicions: newSuspicions(), readDelay: readDelayOf(opts.Self.ID), startedAt: time.Now(), done: make(chan struct{}),
	}
	s.inventory = s.newInventory()
	s.suspensionWatch = suspension.NewWatch(opts.Suspended, s.afterSuspension)
	s.tracker = proxy.NewTracker(opts.Self.Zone, s.onStall)
	s.fetcher = newFetcher(s)
	s.follower = fleet.NewFollower(fleet.FollowerOptions{
		Source: opts.Source, ConfigCache: s.configCache, Halls: s.halls, Inventory: s.inventory,
		ShouldRead: s.shouldRead, MinRetryDelay: s.retrySpread, SettleTime: opts.Bounds.SettleTime, Suspended: s.suspended, Logger: opts.Logger.Named("follower"),
	})
	s.agent, err = peers.NewAgent(peers.Options{
		Self: opts.Self, Transport: opts.Transport, FillHeartbeat: s.fillHeartbeat, OnHeartbeat: s.onHeartbeat, OnNews: s.onNews, OnSummary: s.onSummary,
		OnSent: s.meter.CountDatagram, OnDropped: s.meter.CountIgnoredDatagram, Suspended: s.suspended, Logger: opts.Logger.Named("peers"),
	})
	if err != nil {
		return nil, err
	}
	s.elector = leadership.NewElector(s.electorOptions())
	s.warmUp = s.newWarmUp()
	s.signals = s.newSignals()
	s.proxy = s.newProxy()
	meter.ExportGauge("requests_quarantined", func() float64 { return float64(len(s.proxy.Guard().Table().Marks(time.Now()))) })
	meter.ExportGauge("prompt_parts_quarantined", func() float64 { return float64(len(s.proxy.Guard().PartTable().Marks(time.Now()))) })
	meter.ExportGauge("ready", func() float64 {
		if s.IsReady() {
			return 1
		}
		return 0
	})
	if opts.StoreCalls != nil {
		meter.ExportStoreCalls(opts.StoreCalls)
	}
	meter.ExportGauge("oldest_format", func() float64 { return float64(s.agent.Table().OldestFormat(time.Now())) })
	meter.ExportDaemons(s.daemonsByBuild)
	meter.ExportRetryBudgets(s.proxy.RetryBudgets)
	meter.ExportGauge("halls_closing", s.hallCounter(fleet.HallClosing))
	meter.ExportGauge("halls_closed", s.hallCounter(fleet.HallClosed))
	return s, nil
}

func (s *Server) electorOptions() leadership.Options {
	table := s.agent.Table()
	return leadership.Options{
		Self:     s.opts.Self,
		Registry: s.opts.Registry,
		Alive:    table.Alive, Known: table.CountSeenSince, IsSettled: table.HasCaughtUp, AliveTimeout: table.AliveTimeout,
		CanLead:         s.canLead,
		Era:             s.opts.StoreEra,
		LastStoreAnswer: s.storeLastSeen, Suspended: s.opts.Suspended,
		Lead: s.lead, Logger: s.logger.Named("leadership"),
	}
}

func (s *Server) newProxy() *proxy.Proxy {
	budget := s.opts.Bounds.Budget
	budget.Self, budget.Daemons, budget.Share = s.opts.Self.ID, s.agent.DaemonCount, s.agent.Share
	bufferLimit := bufferlimit.New(s.opts.Bounds.MaxBufferedBytes)
	s.meter.ExportGauge("held_bytes", func() float64 { return float64(bufferLimit.BytesInUse()) })
	return proxy.New(proxy.Options{
		BufferLimit: bufferLimit,
		Names:       s.opts.Names, Config: s.configCache.Config, ConfigConfirmedAt: s.configConfirmedAt, MaxConfigAge: s.maxConfigAge(),
		View: s.inventory.View, Halls: s.halls.View, RegionOf: s.regionOf,
		WarmUpLimit: proxy.RequestLimit{Check: s.warmUp.Check, Take: s.takeWarmUp, Next: s.warmUp.Next},
		WorkerLimit: proxy.RequestLimit{TightlyLimited: s.signals.HasLimit, Check: s.signals.Check, Take: s.signals.Take, Next: s.signals.Next},
		RestLimit:   proxy.RequestLimit{Check: s.signals.CheckRest, Take: s.signals.TakeRest, Next: s.signals.NextAfterRest},
		Tracker:     s.tracker, Budget: budget,
		NotifyPeers: func() { s.agent.SendHeartbeat(time.Now()) }, IsReplaced: s.isReplaced, OnSignal: s.signals.Observe, Dial: s.opts.DialWorker,
		DialPeer: s.opts.DialPeer, Peers: s.forwardPeers, OnLinksChanged: func() { s.agent.SendHeartbeat(time.Now()) },
		CheckSuspension: s.suspensionWatch.Check,
		Shutdown:        s.shutdown.Load, Meter: s.meter, Logger: s.logger.Named("relay"),
	})
}

// regionOf returns the region of a data hall; empty if it is not configured.
func (s *Server) regionOf(hall string) string { return s.opts.Regions[hall] }

func (s *Server) maxConfigAge() time.Duration {
	if s.opts.Bounds.RevocationBound <= 0 {
		return 0
	}
	return max(s.opts.Bounds.RevocationBound-revokeMargin, revokeMargin)
}

// hasState reports whether this daemon has a configuration and a worker list.
func (s *Server) hasState() bool {
	return s.configCache.Config() != nil && !s.inventory.Confirmed().IsZero()
}

// canLead reports whether this daemon may lead. It must not be leaving, must have the configuration
// and all workers, must have waited for heartbeats of others for listenPeriod, and must reach workers
// if any daemon does.
func (s *Server) canLead() bool {
	readAt := s.membersReadAt.Load()
	return !s.isLeaving() && s.hasState() && s.inventory.IsComplete() && readAt != nil && time.Since(*readAt) > listenPeriod && !s.isWorseLinked()
}

// storeLastSeen returns when the configuration or the worker list was last known to be the newest.
func (s *Server) storeLastSeen() time.Time {
	config, workers := s.configCache.Confirmed(), s.inventory.Confirmed()
	if config.After(workers) {
		return config
	}
	return workers
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Run serves callers on l until ctx ends, then shuts down gracefully.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer close(s.done)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	server := headlimit.NewServer(s.proxy, headerTimeout)
	server.IdleTimeout = idleTimeout
	server.ErrorLog = s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	conns := drain.Track(server.Server)
	front := conns.Listener(l)
	var tasks conc.WaitGroup
	tasks.Go(func() { s.follower.Run(running) })
	tasks.Go(func() { s.agent.Run(running) })
	tasks.Go(func() { s.elector.Run(running) })
	tasks.Go(func() { s.proxy.Run(running) })
	tasks.Go(func() { s.fetcher.run(running) })
	tasks.Go(func() { s.forwardNews(running) })
	tasks.Go(func() { s.watchHalls(running) })
	tasks.Go(func() { s.sampleDemand(running) })
	tasks.Go(func() { s.discoverPeers(running) })
	tasks.Go(func() { s.watchScope(running) })
	tasks.Go(func() { s.watchWarmUp(running) })
	tasks.Go(func() { s.watchSignals(running) })
	tasks.Go(func() { s.watchFormat(running) })
	tasks.Go(func() { s.syncMarks(running) })
	tasks.Go(func() { s.readMarksAtStart(running) })
	tasks.Go(func() { s.serveMetrics(running) })
	tasks.Go(func() { s.logStart(running) })
	stopped := make(chan error, 1)
	tasks.Go(func() { stopped <- server.Serve(front) })
	var err error
	select {
	case <-ctx.Done():
		s.stop(server.Server, conns, front)
	case err = <-stopped:
		err = failure.Wrap(failure.Unavailable, "serve callers", front.Addr().String(), err)
	}
	cancel()
	tasks.Wait()
	return err
}

// isLeaving reports whether this daemon is about to end.
func (s *Server) isLeaving() bool { return s.shutdown.Load() != nil }

// IsReady reports whether this daemon can serve callers.
func (s *Server) IsReady() bool {
	return s.hasState() && s.hasSettled(time.Now()) && !s.isLeaving() && !s.proxy.IsConfigStale(time.Now()) && !s.proxy.IsCutOff()
}

// isFullyReady reports whether callers and peers should prefer this daemon to others that are not. It
// must be ready and reach workers of each service.
func (s *Server) isFullyReady() bool { return s.IsReady() && !s.proxy.IsPartlyCutOff() }

// AddressTTL returns how long callers may keep the addresses that AddressesFor returned.
func (s *Server) AddressTTL() time.Duration { return s.opts.Bounds.AddressTTL }

// serveMetrics serves metrics until ctx ends.
func (s *Server) serveMetrics(ctx context.Context) {
	if s.opts.Metrics == "" {
		return
	}
	server := headlimit.NewServer(s.meter.Handler(), headerTimeout)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(s.opts.Metrics); err != nil && ctx.Err() == nil {
		s.logger.Warn("serving metrics failed", "address", s.opts.Metrics, "error", err)
	}
}
