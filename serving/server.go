package serving

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/allowance"
	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/common/awake"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/leadership"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/relay"
	"quartzshelf.dev/telemetry"
)

const (
	// revokeMargin is how much earlier than the bound keys are no longer
	// believed in.
	revokeMargin = 200 * time.Millisecond
	// headerWait bounds the reading of a request's head.
	headerWait = 10 * time.Second
	// idleWait is how long a caller's connection may be idle. Closing sooner
	// than callers expect would cross their next request.
	idleWait = time.Minute
	// hearFor is how long after it first read the member list a daemon listens for
	// others before it may lead.
	hearFor = 700 * time.Millisecond
)

// Server is one daemon.
type Server struct {
	opts      Options
	logger    hclog.Logger
	meter     *telemetry.Meter
	beliefs   *fleet.Beliefs
	halls     *fleet.Halls
	inventory *fleet.Inventory
	follower  *fleet.Follower
	agent     *peers.Agent
	elector   *leadership.Elector
	tracker   *relay.Tracker
	relay     *relay.Relay
	fetcher   *fetcher
	// warmUp bounds what workers get that warm up.
	warmUp *allowance.Allowance
	// signals holds what workers ask for in their answers.
	signals *backpressure.Table
	// awake notices that the machine was suspended.
	awake *awake.Watch
	// suspicions holds the replicas that fell silent of late.
	suspicions *suspicions
	// work is the smoothed work of the fleet.
	work    formation.Smoother
	leaving atomic.Bool
	// metAt is when the own data hall's part of the member list was first read, metAll tells
	// that those of all halls were.
	metAt  atomic.Pointer[time.Time]
	metAll atomic.Bool
	// settledOnce tells that what was read after the start is no older than what others
	// know, newestHeard is the newest version of the configuration that was heard of.
	settledOnce atomic.Bool
	newestHeard atomic.Int64
	// readAgain is when the member list is to be read again.
	readAgain time.Time
	// listed is the own hall's part of the member list as last read, and registration when
	// this daemon was added to it. readTooSoon tells that it was read before that, or may have
	// been.
	listed       []peers.Identity
	registration registration
	readTooSoon  atomic.Bool
	// unread holds the other data halls whose part of the member list is yet to be read.
	unread    []string
	readDelay time.Duration
	start     time.Time
	done      chan struct{}

	mu sync.Mutex
	// keeper is nil while this daemon does not lead.
	keeper *formation.Keeper
}

// New builds a daemon and opens its peers' port. Nothing runs before Run.
func New(opts Options) (*Server, error) {
	meter, err := telemetry.NewMeter()
	if err != nil {
		return nil, failure.At(failure.Unavailable, "start metrics", opts.Metrics, err)
	}
	opts.Self.Format = peers.OwnFormat()
	if opts.Suspended == nil {
		opts.Suspended = awake.Never
	}
	s := &Server{
		opts: opts, logger: opts.Logger, meter: meter, beliefs: fleet.NewBeliefs(), halls: fleet.NewHalls(opts.Bounds.Empty),
		inventory: fleet.NewInventory(opts.Bounds.Heartbeat, opts.Bounds.Leave), suspicions: newSuspicions(),
		readDelay: readDelayOf(opts.Self.ID), start: time.Now(), done: make(chan struct{}),
	}
	s.awake = awake.NewWatch(opts.Suspended, s.slept)
	s.tracker = relay.NewTracker(opts.Self.Zone, s.stalled)
	s.fetcher = newFetcher(s)
	s.follower = fleet.NewFollower(fleet.FollowerOptions{
		Source: opts.Source, Beliefs: s.beliefs, Halls: s.halls, Inventory: s.inventory,
		Reads: s.reads, Spread: s.retrySpread, Suspended: s.suspended, Logger: opts.Logger.Named("follower"),
	})
	s.agent, err = peers.NewAgent(peers.Options{
		Self: opts.Self, Transport: opts.Transport, FillHeartbeat: s.compose, OnHeartbeat: s.heard, OnNews: s.taken, OnSummary: s.summed,
		OnSent: s.meter.Datagram, OnDropped: s.meter.PassedOverDatagram, Suspended: s.suspended, Logger: opts.Logger.Named("peers"),
	})
	if err != nil {
		return nil, err
	}
	s.elector = leadership.NewElector(s.electorOptions())
	s.warmUp = s.newWarmUp()
	s.signals = s.newSignals()
	s.relay = s.newRelay()
	meter.Gauge("requests_quarantined", func() float64 { return float64(len(s.relay.Guard().Table().Marks(time.Now()))) })
	if opts.StoreCalls != nil {
		meter.CountStoreCalls(opts.StoreCalls)
	}
	meter.Gauge("oldest_format", func() float64 { return float64(s.agent.Table().OldestFormat(time.Now())) })
	meter.CountDaemons(s.daemonsByBuild)
	meter.Gauge("halls_closing", s.hallsIn(fleet.HallClosing))
	meter.Gauge("halls_closed", s.hallsIn(fleet.HallClosed))
	return s, nil
}

func (s *Server) electorOptions() leadership.Options {
	table := s.agent.Table()
	return leadership.Options{
		Self:     s.opts.Self,
		Registry: s.opts.Registry,
		Alive:    table.Alive, Known: table.KnownSince, Settled: table.HasCaughtUp, Patience: table.AliveTimeout,
		Fit:       s.fit,
		Era:       s.opts.Era,
		StoreSeen: s.storeSeen, Suspended: s.opts.Suspended,
		Lead: s.lead, Logger: s.logger.Named("leadership"),
	}
}

func (s *Server) newRelay() *relay.Relay {
	budget := s.opts.Bounds.Budget
	budget.Self, budget.Daemons = s.opts.Self.ID, s.agent.DaemonCount
	holdings := relay.NewHoldings(s.opts.Bounds.Held)
	s.meter.Gauge("held_bytes", func() float64 { return float64(holdings.Held()) })
	return relay.New(relay.Options{
		Holdings: holdings,
		Names:    s.opts.Names, Config: s.beliefs.Config, Confirmed: s.configConfirmed, BeliefFor: s.beliefFor(),
		View: s.inventory.View, Halls: s.halls.View, RegionOf: s.regionOf,
		WarmUp:  relay.Bound{Check: s.warmUp.Check, Take: s.takeWarmUp, Next: s.warmUp.Next},
		Limits:  relay.Bound{Scarce: s.signals.Naming, Check: s.signals.Check, Take: s.signals.Take, Next: s.signals.Next},
		Rests:   relay.Bound{Check: s.signals.Rested, Take: s.signals.TakeRested, Next: s.signals.RestEnds},
		Tracker: s.tracker, Budget: budget,
		Spread: func() { s.agent.SendHeartbeat(time.Now()) }, Replaced: s.replaced, Signalled: s.signals.Hear, Dial: s.opts.DialWorker,
		Awake:   s.awake.Check,
		Leaving: s.leaving.Load, Meter: s.meter, Logger: s.logger.Named("relay"),
	})
}

// regionOf returns the region of a data hall; empty if the settings tell none.
func (s *Server) regionOf(hall string) string { return s.opts.Regions[hall] }

func (s *Server) beliefFor() time.Duration {
	if s.opts.Bounds.Revoke <= 0 {
		return 0
	}
	return max(s.opts.Bounds.Revoke-revokeMargin, revokeMargin)
}

// knows reports whether a configuration and a worker list are known.
func (s *Server) knows() bool {
	return s.beliefs.Config() != nil && !s.inventory.Confirmed().IsZero()
}

// fit reports whether this daemon may lead: it stays, knows the fleet with all workers, and
// has had time to hear of the other daemons.
func (s *Server) fit() bool {
	met := s.metAt.Load()
	return !s.leaving.Load() && s.knows() && s.inventory.Complete() && met != nil && time.Since(*met) > hearFor
}

// storeSeen returns when the store last told this daemon anything.
func (s *Server) storeSeen() time.Time {
	config, workers := s.beliefs.Confirmed(), s.inventory.Confirmed()
	if config.After(workers) {
		return config
	}
	return workers
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Run serves callers on front until ctx ends, then stops as planned.
func (s *Server) Run(ctx context.Context, front net.Listener) error {
	defer close(s.done)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	server := &http.Server{
		Handler: s.relay, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait,
		ErrorLog: s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	var duties conc.WaitGroup
	duties.Go(func() { s.follower.Run(running) })
	duties.Go(func() { s.agent.Run(running) })
	duties.Go(func() { s.elector.Run(running) })
	duties.Go(func() { s.relay.Run(running) })
	duties.Go(func() { s.fetcher.run(running) })
	duties.Go(func() { s.passNews(running) })
	duties.Go(func() { s.watchHalls(running) })
	duties.Go(func() { s.observeWork(running) })
	duties.Go(func() { s.meet(running) })
	duties.Go(func() { s.watchScope(running) })
	duties.Go(func() { s.watchWarmUp(running) })
	duties.Go(func() { s.watchSignals(running) })
	duties.Go(func() { s.watchFormat(running) })
	duties.Go(func() { s.keepMarks(running) })
	duties.Go(func() { s.serveMetrics(running) })
	duties.Go(func() { s.tellStart(running) })
	stopped := make(chan error, 1)
	duties.Go(func() { stopped <- server.Serve(front) })
	var err error
	select {
	case <-ctx.Done():
		s.stop(server, front)
	case err = <-stopped:
		err = failure.At(failure.Unavailable, "serve callers", front.Addr().String(), err)
	}
	cancel()
	duties.Wait()
	return err
}

// Ready reports whether callers should come here.
func (s *Server) Ready() bool {
	return s.knows() && s.settled(time.Now()) && !s.leaving.Load() && !s.relay.BeliefTooOld(time.Now())
}

// KeepEntries returns for how long callers keep an answer of Entries.
func (s *Server) KeepEntries() time.Duration { return s.opts.Bounds.KeepEntries }

// serveMetrics shows the metrics until ctx ends.
func (s *Server) serveMetrics(ctx context.Context) {
	if s.opts.Metrics == "" {
		return
	}
	server := &http.Server{Addr: s.opts.Metrics, Handler: s.meter.Handler(), ReadHeaderTimeout: headerWait}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		s.logger.Warn("metrics not served", "address", s.opts.Metrics, "error", err)
	}
}
