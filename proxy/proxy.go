package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/eligibility"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine/guard"
	"quartzshelf.dev/telemetry"
)

const (
	defaultMaxBodyBytes = 8 << 20
	defaultTimeout      = 10 * time.Minute
	lowestPriority      = 9
	// maxRejections is how many rejections a request may get and still be retried.
	maxRejections = 2
	// engineLoadFactor and serviceLoadFactor limit the number of requests in flight at a replica,
	// in multiples of its slots. They apply to services with and without an engine.
	engineLoadFactor  = 1.0
	serviceLoadFactor = 4.0
	// sweepInterval is the interval of checks for silent replicas and idle connections.
	sweepInterval = 50 * time.Millisecond
)

// Options configures a Proxy.
type Options struct {
	Names  HeaderNames
	Config func() *fleet.Config
	// ConfigConfirmedAt returns when the configuration was last known to be current. Keys are
	// accepted for MaxConfigAge after that; zero means without limit.
	ConfigConfirmedAt func() time.Time
	MaxConfigAge      time.Duration
	View              func() *fleet.View
	// Halls returns the state of the data halls; nil if none is ever closed.
	Halls func() *fleet.HallView
	// RegionOf returns the region of a data hall; nil if there is only one region.
	RegionOf func(hall string) string
	// WarmUpLimit limits requests to replicas that are warming up, WorkerLimit those to replicas
	// whose heads set limits. RestLimit stops requests to replicas whose heads ask for a pause.
	WarmUpLimit, WorkerLimit, RestLimit RequestLimit

	Tracker *Tracker
	Budget  RetryBudget
	// BufferLimit limits the bytes buffered for callers and workers; nil for no limit.
	BufferLimit *bufferlimit.Limit
	// ServeLate makes the proxy try to serve requests that are already late. They wait briefly for
	// capacity, and callers refused for lack of capacity get random retry times. After a large loss
	// of workers this delays new requests as well.
	ServeLate bool
	// NotifyPeers, if not nil, is called to notify peers at once of requests that crash workers.
	NotifyPeers func()
	// IsReplaced reports whether another worker instance has taken over the address of a worker;
	// nil if that can't be determined.
	IsReplaced func(ctx context.Context, w *fleet.Worker) (bool, error)
	// OnSignal, if not nil, is called after each answer with the limits and pauses that the worker
	// set in its header. sent is when the request was sent.
	OnSignal func(w *fleet.Worker, s backpressure.Signal, sent, now time.Time)
	// Dial opens connections to workers, DialPeer those to peers; nil for TCP.
	Dial, DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// Peers returns the other daemons that are alive; nil if there are none. Requests are forwarded
	// to them while this daemon reaches no worker of the service.
	Peers func() []Peer
	// OnLinksChanged, if not nil, is called when this daemon no longer reaches any worker of a
	// service, or reaches them again.
	OnLinksChanged func()
	// CheckSuspension is called before a request is accepted and before a replica is chosen. After
	// a suspension of the machine, it corrects how old the daemon's information is considered to
	// be. Nil if the machine is never suspended.
	CheckSuspension func()
	// Shutdown returns the schedule by which this daemon stops; nil while it does not.
	Shutdown func() *Shutdown
	Meter    *telemetry.Meter
	Logger   hclog.Logger
}

// Proxy serves callers. It implements http.Handler.
type Proxy struct {
	opts     Options
	upstream *upstream
	// peerUpstream manages the connections to peers, forwards the attempts at them.
	peerUpstream *upstream
	forwards     *forwards
	links        *links
	budget       *budget
	// callerTimeouts holds the timeouts that callers set.
	callerTimeouts *routeDurations
	guard          *guard.Guard
	// inFlight holds the accepted requests that are not answered yet, waitingStreams the streams among
	// them that have received no event.
	inFlight, waitingStreams *requestSet
	// hedges runs the attempts beside silent ones until their answers begin.
	hedges conc.WaitGroup
	// startedAt is when this daemon started.
	startedAt time.Time
	// hasAnswered reports whether a request has been answered other than by a refusal.
	hasAnswered atomic.Bool
	done        chan struct{}
}

var _ http.Handler = (*Proxy)(nil)

// New returns a Proxy. Run must be called for its periodic work.
func New(opts Options) *Proxy {
	if opts.BufferLimit == nil {
		opts.BufferLimit = bufferlimit.New(0)
	}
	if opts.CheckSuspension == nil {
		opts.CheckSuspension = func() {}
	}
	if opts.Peers == nil {
		opts.Peers = func() []Peer { return nil }
	}
	if opts.OnLinksChanged == nil {
		opts.OnLinksChanged = func() {}
	}
	now := time.Now()
	r := &Proxy{
		opts: opts, upstream: newUpstream(), peerUpstream: newUpstream(), forwards: newForwards(), budget: newBudget(opts.Budget, now), callerTimeouts: newRouteDurations(),
		inFlight: newRequestSet(), waitingStreams: newRequestSet(), startedAt: now, done: make(chan struct{}),
	}
	r.upstream.idleShare, r.upstream.onConnection = r.idleShare, opts.Meter.CountConnection
	r.upstream.onResend = func() { opts.Meter.CountRetry(reason.RetryResent) }
	r.upstream.onConnectFailed = func(w *fleet.Worker, err error) {
		opts.Meter.CountFailedConnect(w.Service, connectFailureCause(err))
	}
	if opts.Dial != nil {
		r.upstream.dial = opts.Dial
	}
	r.peerUpstream.onResend = r.upstream.onResend
	if opts.DialPeer != nil {
		r.peerUpstream.dial = opts.DialPeer
	}
	r.links = newLinks(r)
	r.upstream.onSlowConnect = func(w *fleet.Worker) { r.links.start(w.Service, w.ID, time.Now()) }
	r.guard = guard.New(guard.Options{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return r.upstream.dial(ctx, network, address)
		},
		OnQuarantined: r.cancelQuarantined, OnPartsQuarantined: r.cancelQuarantinedParts, NotifyPeers: opts.NotifyPeers, Meter: opts.Meter, Logger: opts.Logger,
	})
	return r
}

// Done is closed when Run has returned.
func (p *Proxy) Done() <-chan struct{} { return p.done }

// Run periodically checks for silent replicas, closes idle connections that are no longer needed,
// and forgets expired crash records and retry counts, until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	defer close(p.done)
	defer p.guard.Wait()
	defer p.links.wait()
	defer p.hedges.Wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			p.opts.Tracker.Sweep(now, now.Sub(last))
			p.upstream.sweep(now)
			p.peerUpstream.sweep(now)
			p.links.sweep(now)
			p.forwards.sweep(p.opts.Peers)
			p.guard.Sweep(now)
			p.budget.sweep(now)
			last = now
		}
	}
}

// AddSuspension must be called after a suspension of the machine. It closes the idle connections,
// because workers may have closed them unnoticed, and counts the time as passed.
func (p *Proxy) AddSuspension(suspended time.Duration) {
	p.CloseIdleConnections()
	p.budget.addSuspension(suspended)
}

// CloseIdleConnections closes the idle connections to workers and peers.
func (p *Proxy) CloseIdleConnections() {
	p.upstream.closeAll()
	p.peerUpstream.closeAll()
}

// IsCutOff reports whether this daemon reaches no worker of any service.
func (p *Proxy) IsCutOff() bool { return p.links.areAllDown() }

// IsPartlyCutOff reports whether this daemon reaches no worker of some service.
func (p *Proxy) IsPartlyCutOff() bool { return len(p.links.downServices()) > 0 }

// ReachesEngines reports whether this daemon reaches workers of each service with an engine, as far as
// it knows.
func (p *Proxy) ReachesEngines() bool {
	config := p.opts.Config()
	if config == nil {
		return true
	}
	for _, name := range p.links.downServices() {
		if s, ok := config.Service(name); ok && s.Engine != nil {
			return false
		}
	}
	return true
}

// RetryBudgets returns the state of this daemon's share of the retry budget of each service, for
// metrics.
func (p *Proxy) RetryBudgets() []telemetry.RetryBudget {
	var all []telemetry.RetryBudget
	for _, service := range p.budget.knownServices() {
		state := p.budget.state(service, time.Now())
		all = append(all, telemetry.RetryBudget{Service: service, Allowed: state.allowed, Used: state.retries, Share: state.share})
	}
	return all
}

// AfterLinkCheck calls report unless a check shows that this daemon reaches no worker of the given
// worker's service. It is used before a worker is blamed for a failure.
func (p *Proxy) AfterLinkCheck(failed *fleet.Worker, report func()) {
	p.links.afterCheck(failed, report)
}

// AreLinksUp reports whether this daemon reaches workers of the service of a worker that it did not reach
// just now. It waits for a check.
func (p *Proxy) AreLinksUp(ctx context.Context, failed *fleet.Worker) bool {
	return p.links.verify(ctx, failed)
}

func (p *Proxy) random() float64 { return rand.Float64() }

// ServeHTTP answers one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	p.opts.Meter.CountRequest()
	if p.isShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	c, refused := p.accept(h, http.NewResponseController(w))
	if c != nil {
		defer c.memory.Release()
	}
	if refused == nil {
		defer c.cancelCause(nil)
		p.inFlight.add(c, c.cancelCause)
		defer p.inFlight.remove(c)
		if !c.isForwarded {
			p.budget.addRequest(c.service, c.arrived)
		}
		if c.route.Kind == fleet.Stream {
			refused = p.serveStream(w, c)
		} else {
			refused = p.serveBuffered(w, c)
		}
	}
	if refused != nil {
		p.refuse(w, c, refused)
		return
	}
	p.hasAnswered.Store(true)
}

// HasAnswered reports whether any caller has got a worker's answer yet.
func (p *Proxy) HasAnswered() bool { return p.hasAnswered.Load() }

// refuse sends, counts and logs a refusal.
func (p *Proxy) refuse(w http.ResponseWriter, c *request, f *refusal) {
	p.opts.Meter.CountRefusal(f.reason)
	if p.opts.ServeLate && f.isForCapacity() {
		f.retryAfter = p.spreadRetryAfter(c, time.Now())
	}
	if c != nil {
		service, sends, rejections := c.service, c.sends, c.rejections
		fields := []any{"request", c.id, "status", f.status, "reason", string(f.reason),
			"service", service, "model", c.model, "sends", sends, "rejections", rejections,
			"ms", time.Since(c.arrived).Milliseconds(), "config", p.configVersion(), "passed_over", f.passedOver, "retry_budget", c.budgetAtRefusal, "fingerprint", c.fingerprintIfKnown(), "error", f.cause}
		p.opts.Logger.Info("request refused", append(fields, p.stopFields(c)...)...)
	}
	f.write(w)
}

func (p *Proxy) configVersion() int64 {
	if c := p.opts.Config(); c != nil {
		return c.Version()
	}
	return 0
}

// choose returns the replica for the next attempt, or a peer if this daemon reaches no worker of the
// service. It returns a refusal if there is neither, or if the daemon stops and the request has not run yet.
func (p *Proxy) choose(c *request) (destination, *refusal) {
	if !c.mayHaveRun() {
		if refused := p.checkShutdown(c); refused != nil {
			return destination{}, refused
		}
	}
	return p.chooseWithin(c, eligibility.Excluded)
}

// chooseWithin is like choose, but leaves out replicas of the given class and worse ones.
func (p *Proxy) chooseWithin(c *request, limit eligibility.Class) (destination, *refusal) {
	p.opts.CheckSuspension()
	now := time.Now()
	if f := p.checkQuarantine(c, now); f != nil {
		return destination{}, f
	}
	if c.tenant != nil && p.IsConfigStale(now) {
		return destination{}, newUnavailable(reason.Isolated, "it is not certain which keys are in force", retryUninformed)
	}
	if p.links.isDown(c.service) {
		peer, refused := p.choosePeer(c)
		return destination{peer: peer}, refused
	}
	replica, refused := p.chooseReplica(c, limit, now)
	return destination{replica: replica}, refused
}

// chooseReplica returns the replica for the next attempt among those whose class is better than limit, or a
// refusal if there is none.
func (p *Proxy) chooseReplica(c *request, limit eligibility.Class, now time.Time) (*fleet.Replica, *refusal) {
	selection := p.selectReplicas(c, now)
	// exhausted holds replicas whose last token was taken by another request since they were
	// classified.
	var exhausted map[string]bool
	for {
		if selection.IsEmpty() {
			return nil, p.noReplicaRefusal(c, selection.Counts(), now)
		}
		replica, refused := p.chooseByClass(c, &selection, limit, exhausted, now)
		c.chosenAt = now
		if refused != nil || p.takeTokens(c, replica, now) {
			return replica, refused
		}
		if exhausted == nil {
			exhausted = make(map[string]bool)
		}
		exhausted[replica.ID] = true
	}
}

// chooseByClass chooses among the replicas of the best class with free capacity. Replicas of class
// LastResort are not used while better ones are merely full.
func (p *Proxy) chooseByClass(c *request, s *eligibility.Selection, limit eligibility.Class, exhausted map[string]bool, now time.Time) (*fleet.Replica, *refusal) {
	isFull := false
	for class := eligibility.Eligible; class < limit; class++ {
		replicas := s.InClass(class)
		if len(replicas) == 0 || isFull && class == eligibility.LastResort {
			continue
		}
		predicted := costsOf(c.engine, c.model, replicas[0].Head.Slots)
		predicted.connectedWorkers = p.upstream.connectedWorkers(maxIdleFor(!c.route.Repeatable()))
		predicted.preferIdle = c.isSuspected
		predicted.tightlyLimited = p.opts.WorkerLimit.tightLimitChecker()
		choice, ok := p.chooseFrom(c, replicas, exhausted, predicted, now)
		if !ok {
			continue
		}
		c.chosenInFlight = choice.InFlight
		if choice.InFlight < p.maxInFlight(c, choice.Replica) {
			return choice.Replica, nil
		}
		isFull = true
	}
	f := newUnavailable(reason.Overloaded, "all replicas are busy", retryBusy)
	if !isFull {
		f = p.boundRefusal(c, c.exhaustedBound, now)
	}
	f.passedOver = c.passedOver
	return nil, f
}

// maxInFlight returns how many requests may be in flight at a replica over all daemons.
func (p *Proxy) maxInFlight(c *request, replica *fleet.Replica) float64 {
	if c.engine != nil {
		return engineLoadFactor * float64(c.engine.Slots)
	}
	return serviceLoadFactor * float64(max(replica.Head.Slots, 1))
}

// mayRetry reports whether a failed attempt may be followed by another one, apart from the retry
// budget. mayHaveRun reports whether the failed attempt may have run.
func (c *request) mayRetry(mayHaveRun bool) bool {
	switch {
	case c.isDone():
		return false
	case mayHaveRun:
		return c.route.Repeatable() && c.sends < c.route.MaxAttempts
	}
	return c.rejections <= maxRejections
}

// mayHaveReachedWorker reports whether an attempt that failed with err may have been received by a
// worker, even if that rejected it.
func mayHaveReachedWorker(err error) bool {
	var refused *peerRefusal
	if errors.As(err, &refused) {
		return refused.mayHaveReachedWorker()
	}
	return mayHaveArrived(err) || errors.Is(err, errRejected)
}

// takeFromBudget takes a retry from the budget of the request's service, and reports whether one was
// left.
func (p *Proxy) takeFromBudget(c *request) bool {
	now := time.Now()
	if p.budget.takeRetry(c.service, now) {
		return true
	}
	state := p.budget.state(c.service, now)
	c.budgetAtRefusal = state.String()
	p.opts.Meter.CountRefusal(reason.RetryBudgetExhausted)
	if p.budget.mustReportExhaustion(c.service, now) {
		p.opts.Logger.Info("retry budget exhausted", "service", c.service, "retries", state.retries, "allowed", state.allowed,
			"requests", state.requests, "share", state.share)
	}
	return false
}

// recordAttempt records a failed attempt. It returns whether the attempt may have run, and a refusal
// if no other one may follow.
func (p *Proxy) recordAttempt(c *request, chosen destination, err error) (mayHaveRun bool, refused *refusal) {
	mayHaveRun = p.recordFailed(c, chosen, err)
	return mayHaveRun, p.checkRetry(c, err, mayHaveRun)
}

// recordFailed records a failed attempt and returns whether it may have run.
func (p *Proxy) recordFailed(c *request, chosen destination, err error) (mayHaveRun bool) {
	if chosen.peer != nil {
		return p.recordPeerFailure(c, chosen.peer, err)
	}
	return p.recordFailure(c, chosen.replica, err)
}

// checkRetry returns a refusal if no other attempt may follow one that failed with err. Otherwise it takes
// a retry from the budget, if the failed attempt reached a worker.
func (p *Proxy) checkRetry(c *request, err error, mayHaveRun bool) *refusal {
	if f := finalRefusal(err); f != nil {
		return c.correctStatus(f)
	}
	if !c.mayRetry(mayHaveRun) || mayHaveReachedWorker(err) && !p.takeFromBudget(c) {
		return p.failureRefusal(c)
	}
	return nil
}

// recordFailure records a failed attempt at a replica and returns whether it may have run. If this
// daemon's own links failed, the replica is not blamed.
func (p *Proxy) recordFailure(c *request, replica *fleet.Replica, err error) (mayHaveRun bool) {
	mayHaveRun = p.countFailure(c, replica, err)
	if mayHaveRun && guard.IsConnectionBroken(err) {
		p.logBroken(c, replica, err)
	}
	if mayBeOwnLinks(err) && !p.links.verify(c.ctx, replica.Head) {
		return mayHaveRun
	}
	if mayHaveRun && guard.IsConnectionBroken(err) {
		p.reportCrash(c, replica)
	}
	p.blame(c, replica, err)
	return mayHaveRun
}

// countFailure counts a failed attempt at a replica and returns whether it may have run.
func (p *Proxy) countFailure(c *request, replica *fleet.Replica, err error) (mayHaveRun bool) {
	c.lastErr = err
	c.triedReplicas[replica.ID] = true
	mayHaveRun = mayHaveArrived(err)
	if mayHaveRun {
		c.sends++
	} else {
		c.rejections++
	}
	return mayHaveRun
}

// blame makes other requests avoid a replica at which an attempt failed, unless the attempt was ended
// for a reason of its own.
func (p *Proxy) blame(c *request, replica *fleet.Replica, err error) {
	if c.isDone() || errors.Is(err, errQuarantined) || errors.Is(err, errNotOffered) {
		return
	}
	p.opts.Tracker.RecordFailure(replica, time.Now())
	p.recordHeadFailure(c, replica, err)
	p.recordInvalidAnswer(c, replica, err)
}

// failureRefusal returns the refusal of a request whose attempts all failed.
func (p *Proxy) failureRefusal(c *request) *refusal {
	if c.isTimedOut() {
		return c.correctStatus(timeoutRefusal(c))
	}
	f := newUnavailable(reason.EndpointRefused, "no worker took the request", retrySoon)
	if c.mayHaveRun() {
		f = newRefusal(http.StatusBadGateway, reason.EndpointBroken, "the worker's answer was lost")
	}
	switch {
	case errors.Is(c.lastErr, errReplicaSilent):
		f.reason = reason.EndpointTimeout
	case errors.Is(c.lastErr, errQuarantined):
		f.reason = reason.Quarantined
	}
	return c.correctStatus(f)
}

func timeoutRefusal(c *request) *refusal {
	if c.mayHaveRun() {
		return newRefusal(http.StatusGatewayTimeout, reason.EndpointTimeout, "the time was up before the answer came")
	}
	return newUnavailable(reason.EndpointTimeout, "the time was up before the request began", 0)
}
