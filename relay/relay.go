package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/backpressure"
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
	// maxRejections is how many workers may turn a request away before it is
	// given up.
	maxRejections = 2
	// engineLoadFactor and serviceRoom are how much work may be in flight at a
	// worker, in multiples of its slots, before requests are refused.
	engineLoadFactor  = 1.0
	serviceLoadFactor = 4.0
	// sweepInterval is how often silent replicas are looked for.
	sweepInterval = 50 * time.Millisecond
)

// Options configures a Relay.
type Options struct {
	Names  Names
	Config func() *fleet.Config
	// Confirmed returns when the configuration was last known to be the
	// newest, BeliefFor for how long after that keys are believed in; zero
	// means for ever.
	Confirmed func() time.Time
	BeliefFor time.Duration
	View      func() *fleet.View
	// Halls returns the state of the data halls; nil for none that close.
	Halls func() *fleet.HallView
	// RegionOf returns the region of a data hall; nil for one region.
	RegionOf func(hall string) string
	// WarmUp bounds what replicas get that warm up, Limits what those get whose heads name
	// limits. Rests keeps requests from those whose heads want nothing from this daemon.
	WarmUp, Limits, Rests Bound

	Tracker *Tracker
	Budget  BudgetOptions
	// Holdings bounds what is held for callers and workers; nil for no bound.
	Holdings *Holdings
	// ServeLate keeps requests that are late already rather than lose them: they wait for
	// room, and refused callers are told to come back over all of the time that they heed.
	// Where a third of the workers is lost that makes fresh requests late as well, so it is
	// off by default (docs/design/nothing-lost.md).
	ServeLate bool
	// Spread is called when peers are to be told at once of requests that end workers; nil
	// for nobody.
	Spread func()
	// Replaced reports whether another life has the address of a worker; nil if that can't
	// be told.
	Replaced func(ctx context.Context, w *fleet.Worker) (bool, error)
	// Signalled is called with what a worker says of itself in the head of an answer to a
	// request that was sent at a time; nil for nobody.
	Signalled func(w *fleet.Worker, s backpressure.Signal, sent, now time.Time)
	// Dial opens connections to workers; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Awake is called before a request is judged by what is believed: it sees to it that
	// beliefs are as old as they are if the machine was suspended; nil for one that never is.
	Awake func()
	// Leaving reports whether this daemon is to stop.
	Leaving func() bool
	Meter   *telemetry.Meter
	Logger  hclog.Logger
}

// Relay serves callers. It implements http.Handler.
type Relay struct {
	opts           Options
	upstream       *upstream
	budget         *budget
	callerTimeouts *callerTimeouts
	guard          *guard.Guard
	waitingStreams waitingStreams
	// startedAt is when this daemon began.
	startedAt time.Time
	// hasAnswered tells that some answer was not a refusal.
	hasAnswered atomic.Bool
	done        chan struct{}
}

var _ http.Handler = (*Relay)(nil)

// New returns a relay; Run does its housekeeping.
func New(opts Options) *Relay {
	if opts.Holdings == nil {
		opts.Holdings = NewHoldings(0)
	}
	if opts.Awake == nil {
		opts.Awake = func() {}
	}
	r := &Relay{
		opts: opts, upstream: newUpstream(), budget: newBudget(opts.Budget), callerTimeouts: newCallerTimeouts(),
		startedAt: time.Now(), done: make(chan struct{}),
	}
	r.upstream.idleShare, r.upstream.onConnection = r.idleShare, opts.Meter.Connection
	if opts.Dial != nil {
		r.upstream.dial = opts.Dial
	}
	r.waitingStreams.held = make(map[*request]context.CancelCauseFunc)
	r.guard = guard.New(guard.Options{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return r.upstream.dial(ctx, network, address)
		},
		Marked: r.cancelQuarantined, Spread: opts.Spread, Meter: opts.Meter, Logger: opts.Logger,
	})
	return r
}

// Done is closed when Run has returned.
func (r *Relay) Done() <-chan struct{} { return r.done }

// Run looks for silent replicas and closes idle connections until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	defer close(r.done)
	defer r.guard.Wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			r.opts.Tracker.Sweep(now, now.Sub(last))
			r.upstream.sweep(now)
			r.guard.Table().Sweep(now)
			last = now
		}
	}
}

// Slept notes that the machine was suspended: workers may have closed the connections that
// were kept, and of some of them nothing tells.
func (r *Relay) Slept() { r.upstream.closeAll() }

func (r *Relay) random() float64 { return rand.Float64() }

// ServeHTTP answers one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	r.opts.Meter.Request()
	if r.opts.Leaving() {
		w.Header().Set("Connection", "close")
	}
	c, refused := r.accept(h, http.NewResponseController(w))
	if c != nil {
		defer c.memory.release()
	}
	if refused == nil {
		defer c.cancel()
		r.budget.addRequest(c.service, c.arrived)
		if c.route.Kind == fleet.Stream {
			refused = r.serveStream(w, c)
		} else {
			refused = r.serveWhole(w, c)
		}
	}
	if refused != nil {
		r.refuse(w, c, refused)
		return
	}
	r.hasAnswered.Store(true)
}

// Answered reports whether a caller got an answer of a worker yet.
func (r *Relay) Answered() bool { return r.hasAnswered.Load() }

// refuse answers with a refusal, counts it, and logs why.
func (r *Relay) refuse(w http.ResponseWriter, c *request, f *refusal) {
	r.opts.Meter.Refuse(f.reason)
	if r.opts.ServeLate && f.isForCapacity() {
		f.retryAfter = r.spreadRetryAfter(c, time.Now())
	}
	if c != nil {
		service, sends, rejections := c.service, c.sends, c.rejections
		r.opts.Logger.Info("request refused", "request", c.id, "status", f.status, "reason", string(f.reason),
			"service", service, "model", c.model, "sends", sends, "rejections", rejections,
			"ms", time.Since(c.arrived).Milliseconds(), "config", r.configVersion(), "passed_over", f.passedOver, "fingerprint", c.fingerprintIfKnown(), "error", f.cause)
	}
	f.write(w)
}

func (r *Relay) configVersion() int64 {
	if c := r.opts.Config(); c != nil {
		return c.Version()
	}
	return 0
}

// choose returns the replica for the next attempt, or why there is none.
func (r *Relay) choose(c *request) (*fleet.Replica, *refusal) {
	r.opts.Awake()
	now := time.Now()
	if f := r.checkQuarantine(c, now); f != nil {
		return nil, f
	}
	if c.tenant != nil && r.BeliefTooOld(now) {
		return nil, unavailable(reason.Isolated, "it is not certain which keys are in force", retryUninformed)
	}
	selection := r.selectReplicas(c, now)
	// exhausted holds replicas whose last token another request took since they were judged.
	var exhausted map[string]bool
	for {
		if selection.IsEmpty() {
			return nil, r.noReplicaRefusal(c, selection.Counts(), now)
		}
		replica, none := r.chooseByClass(c, &selection, exhausted, now)
		c.sentAt = now
		if none != nil || r.takeTokens(c, replica, now) {
			return replica, none
		}
		if exhausted == nil {
			exhausted = make(map[string]bool)
		}
		exhausted[replica.ID] = true
	}
}

// chooseByClass chooses among the replicas of the best class that has room. Doubtful ones
// count only if there are no others.
func (r *Relay) chooseByClass(c *request, s *eligibility.Selection, exhausted map[string]bool, now time.Time) (*fleet.Replica, *refusal) {
	full := false
	for class := eligibility.Eligible; class < eligibility.Excluded; class++ {
		replicas := s.InClass(class)
		if len(replicas) == 0 || full && class == eligibility.LastResort {
			continue
		}
		predicted := costsOf(c.engine, c.model, replicas[0].Head.Slots)
		predicted.connected = r.upstream.connectedWorkers(maxIdleFor(!c.route.Repeatable()))
		predicted.preferIdle = c.isSuspected
		predicted.tightlyLimited = r.opts.Limits.tightlyLimited()
		choice, ok := r.chooseFrom(c, replicas, exhausted, predicted, now)
		if !ok {
			continue
		}
		c.chosenBusy = choice.Busy
		if choice.Busy < r.maxInFlight(c, choice.Replica) {
			return choice.Replica, nil
		}
		full = true
	}
	f := unavailable(reason.Overloaded, "all replicas are busy", retryBusy)
	if !full {
		f = r.boundRefusal(c, c.exhaustedBound, now)
	}
	f.passedOver = c.passedOver
	return nil, f
}

// maxInFlight returns how much work a replica may have in flight.
func (r *Relay) maxInFlight(c *request, replica *fleet.Replica) float64 {
	if c.engine != nil {
		return engineLoadFactor * float64(c.engine.Slots)
	}
	return serviceLoadFactor * float64(max(replica.Head.Slots, 1))
}

// mayRetry reports whether a failed attempt may be followed by another one,
// and draws on the budget if so. ran tells whether the attempt may have run.
func (r *Relay) mayRetry(c *request, ran bool) bool {
	switch {
	case c.isDone():
		return false
	case ran && (!c.route.Repeatable() || c.sends >= c.route.Attempts):
		return false
	case !ran && c.rejections > maxRejections:
		return false
	}
	if !r.budget.takeRetry(c.service, time.Now()) {
		r.opts.Meter.Refuse(reason.RetryBudget)
		return false
	}
	return true
}

// recordFailure records a failed attempt and returns whether it may have run.
func (r *Relay) recordFailure(c *request, replica *fleet.Replica, err error) (ran bool) {
	c.lastErr = err
	c.tried[replica.ID] = true
	ran = wasSent(err)
	if ran {
		c.sends++
	} else {
		c.rejections++
	}
	if ran && guard.BrokeOff(err) {
		r.logBroken(c, replica, err)
		r.reportCrash(c, replica)
	}
	if !c.isDone() && !errors.Is(err, errQuarantined) {
		r.opts.Tracker.RecordFailure(replica, time.Now())
		r.recordHeadFailure(c, replica, err)
	}
	return ran
}

// failureRefusal returns the answer to a request whose attempts all failed.
func (r *Relay) failureRefusal(c *request) *refusal {
	if c.isTimedOut() {
		return c.correctStatus(timeoutRefusal(c))
	}
	f := unavailable(reason.EndpointRefused, "no worker took the request", retrySoon)
	if c.mayHaveRun() {
		f = refuse(http.StatusBadGateway, reason.EndpointBroken, "the worker's answer was lost")
	}
	switch {
	case errors.Is(c.lastErr, errStalled):
		f.reason = reason.EndpointTimeout
	case errors.Is(c.lastErr, errQuarantined):
		f.reason = reason.Quarantined
	}
	return c.correctStatus(f)
}

func timeoutRefusal(c *request) *refusal {
	if c.mayHaveRun() {
		return refuse(http.StatusGatewayTimeout, reason.EndpointTimeout, "the time was up before the answer came")
	}
	return unavailable(reason.EndpointTimeout, "the time was up before the request began", 0)
}
