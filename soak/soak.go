// Package soak tests daemons under random faults. It runs each daemon as a separate process and
// simulates the platform in its own process. The faults include killed processes, broken network
// links, and errors of the store and the workers. Several series of faults run concurrently.
// Simulated callers and workers check that the daemons keep their guarantees. A seed determines the
// faults, but the timing differs from run to run.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/platform/standin"
)

// Options configures a soak.
type Options struct {
	Seed uint64
	// Program is the path of the daemon's program. Dir is the directory for settings and logs.
	Program, Dir string
	// EarlierProgram is the path of an earlier build's program, or empty. Mix selects the daemons
	// that run it.
	EarlierProgram string
	Mix            BuildMix
	// AddressPrefix is the first three numbers of the loopback addresses of this soak, such as
	// 127.1.1. No other process may use them.
	AddressPrefix string
	// Daemons is the number of daemons. Workers is the number of workers of the model service.
	Daemons, Workers int
	// Callers is the number of concurrent callers. SeriesCount is the number of concurrent series
	// of faults.
	Callers, SeriesCount int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// CrashingRequest adds a caller whose requests crash every worker that executes them.
	CrashingRequest bool
	// CrashingPart adds a caller whose requests share nothing but a part of their prompts, which
	// crashes every worker that executes them.
	CrashingPart bool
	// WorkersKeepIDs makes about half of the restarted workers keep their ID. Otherwise, every
	// restarted worker gets a new ID.
	WorkersKeepIDs bool
	// WorkerSignals adds faults in which workers announce request limits, rest periods or their
	// leave.
	WorkerSignals bool
	// WorkerPauses adds faults in which workers fall silent and go on later, and changes of the
	// configuration beside them. Without other faults, the callers report every stream that a daemon
	// ends before its deadline.
	WorkerPauses bool
	// DaemonStops adds planned stops of daemons, requests of which a few take far longer than the others,
	// bodies that come late, and callers that keep asking a stopping daemon. Without other faults, most seeds
	// stop daemons in waves, during which workers may become slow, and the callers report every request that
	// a daemon ends before its deadline.
	DaemonStops bool
	// WorkerSpoils adds faults in which workers send bytes that are no response, and in which another writer leaves
	// odd entries among those of the workers.
	WorkerSpoils bool
	// StoreRestores adds restores of the store from a copy that is seconds old.
	StoreRestores bool
	// HallFaults adds faults of data halls, and a second region.
	HallFaults bool
	// Logger receives a message at level Debug for each injected fault.
	Logger hclog.Logger
}

// Result is the result of one soak.
type Result struct {
	Seed       uint64
	Violations []standin.Violation
	// RequestsByResult is the number of requests for each result.
	RequestsByResult map[string]int
	// FaultCount is the number of faults that were injected.
	FaultCount int
	// CrashedWorkers is the number of workers that were crashed by a request.
	CrashedWorkers int
}

// timing holds the durations that the daemons and the simulated platform use.
var timing = standin.Timing{
	Heartbeat: 500 * time.Millisecond, LoadDuration: 2500 * time.Millisecond, WarmLoadDuration: 400 * time.Millisecond, RejoinDuration: 100 * time.Millisecond,
	OpenDuration: 100 * time.Millisecond, StallTimeout: 3 * time.Second, Drain: 2 * time.Second,
	ReportLag:     200 * time.Millisecond,
	EventInterval: 15 * time.Millisecond, RequestDuration: 10 * time.Millisecond,
}

// modelLoadLimit limits how often workers load models from the weight store. The daemons apply it,
// and the simulated platform checks it.
var modelLoadLimit = standin.LoadLimit{PerSecond: 1, Window: 5 * time.Second, RateFactor: 1.1, Extra: 3}

const (
	slotsPerWorker   = 12
	workersPerDomain = 8
	plainWorkerCount = 3
	stopGrace        = 8 * time.Second
	startTimeout     = 15 * time.Second
	recoveryTimeout  = 20 * time.Second
	recoveryWindow   = 3 * time.Second
	minServedShare   = 0.9
	// settleTime is how long daemons may take to read missed updates after a fault that blocked
	// updates has ended.
	settleTime = 3 * time.Second
)

// run is the state of one soak.
type run struct {
	opts             Options
	store            *standin.Store
	ledger           *standin.Ledger
	fabric           *standin.Fabric
	operator         *standin.Operator
	callers          *callerState
	models           []standin.Model
	daemons          []*daemon
	daemonsByAddress map[string]*daemon
	addRouteOnce     sync.Once
	storeServers     []*httptest.Server

	mu             sync.Mutex
	workerProxies  map[string]*proxy
	startedWorkers int
	// blockingFaults is the number of active faults that may keep daemons from reading updates.
	// unblockedSince is when the last such fault ended.
	blockingFaults int
	unblockedSince time.Time
	// faultCount is the number of faults injected so far.
	faultCount int
	// faultFreeSince is when the system had recovered from all faults, or zero before that.
	faultFreeSince time.Time
	// lastLeader is the daemon that most recently reported that it leads, or nil.
	lastLeader *daemon
	// closing is true once the soak is shutting down. No worker may then be started.
	closing bool
	// err is the first error passed to recordError.
	err error
}

// Run runs one soak. It returns an error if the soak could not be completed. Violations are not
// errors but part of the result.
func Run(ctx context.Context, opts Options) (Result, error) {
	r := &run{
		opts: opts, store: standin.NewStore(), ledger: standin.NewLedger(), callers: newCallerState(),
		models:           []standin.Model{{Name: "big", Size: 4, Share: 0.5}, {Name: "small", Size: 2, Share: 0.5}},
		daemonsByAddress: make(map[string]*daemon), workerProxies: make(map[string]*proxy), unblockedSince: time.Now(),
	}
	defer r.close()
	if err := r.startSystem(); err != nil {
		return Result{}, err
	}
	backgroundCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { r.fabric.Run(backgroundCtx) })
	err := r.injectScheduledFaults(ctx, backgroundCtx, &group)
	cancel()
	group.Wait()
	r.checkAtEnd()
	return Result{Seed: opts.Seed, Violations: r.ledger.Violations(), RequestsByResult: r.callers.countByResult(), FaultCount: r.faultCount, CrashedWorkers: r.fabric.CrashedByRequest()}, cmp.Or(err, r.err)
}

// startSystem starts the simulated platform, the workers and the daemons.
func (r *run) startSystem() error {
	r.fabric = standin.NewFabric(standin.FabricOptions{
		Store: r.store, Ledger: r.ledger, Timing: timing, Models: r.models, LoadLimit: modelLoadLimit, NoFaultSince: r.settledSince,
		IgnoreFences: drawWorkersIgnoreFences(r.opts.Seed), Halls: r.hallRules(), OnStopped: r.closeWorkerProxy, OnCrashed: r.scheduleRestart,
		LinkHealthySince: r.isLinkHealthySince,
	})
	r.operator = standin.NewOperator(standin.OperatorOptions{
		Store: r.store, Models: r.models, Timing: timing, LoadLimit: modelLoadLimit, Slots: slotsPerWorker, MaxConcurrentLoads: 4, Tenants: r.callers.keysByTenant, Halls: r.hallRules(),
	})
	r.operator.Publish()
	for i := range r.opts.Workers {
		r.recordError(r.startWorker(standin.WorkerSpec{Service: standin.ModelService, Domain: fmt.Sprintf("domain-%d", i/workersPerDomain), Zone: r.hallForIndex(i / workersPerDomain), Slots: slotsPerWorker}))
	}
	for i := range plainWorkerCount {
		r.recordError(r.startWorker(standin.WorkerSpec{Service: standin.PlainService, Zone: r.hallForIndex(i), Slots: 2 * slotsPerWorker}))
	}
	for i := range r.opts.Daemons {
		r.recordError(r.startDaemon(i))
	}
	return r.err
}

// drawWorkersIgnoreFences draws whether the workers of a soak ignore the fences of orders.
func drawWorkersIgnoreFences(seed uint64) bool {
	// Streams with lower numbers are used for the schedules of faults.
	const randomStream = 1 << 32
	return rand.New(rand.NewPCG(seed, randomStream)).IntN(2) == 0
}

// recordError stores err for the result of Run. Only the first error is kept.
func (r *run) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = cmp.Or(r.err, err)
}

// startWorker starts a worker that is reached through its own proxy.
func (r *run) startWorker(spec standin.WorkerSpec) error {
	r.mu.Lock()
	r.startedWorkers++
	if spec.ID == "" {
		spec.ID = fmt.Sprintf("w%d", r.startedWorkers)
	}
	if spec.Zone == "" {
		spec.Zone = hallName(r.startedWorkers % 2)
	}
	r.mu.Unlock()
	var workerProxy *proxy
	var proxyErr error
	_, startErr := r.fabric.StartWorker(r.opts.AddressPrefix+".1", spec, func(workerAddress string) string {
		if workerProxy, proxyErr = newProxy(r.opts.AddressPrefix+".1", workerAddress); proxyErr != nil {
			return workerAddress
		}
		r.mu.Lock()
		r.workerProxies[spec.ID] = workerProxy
		r.mu.Unlock()
		return workerProxy.address()
	})
	if cause := cmp.Or(startErr, proxyErr); cause != nil {
		return failure.Wrap(failure.Unavailable, "start worker", spec.ID, cause)
	}
	return nil
}

// proxyOf returns the proxy of a worker.
func (r *run) proxyOf(w *standin.Worker) *proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workerProxies[w.ID()]
}

// replaceWorker starts a replacement for a worker. It has a new ID and no staged models.
func (r *run) replaceWorker(w *standin.Worker) {
	spec := w.Spec()
	spec.ID, spec.Address, spec.StagedModel = "", "", ""
	r.recordError(r.startWorker(spec))
}

// restartWorker restarts or replaces a worker that has ended. With Options.WorkersKeepIDs, about
// half of the workers restart with the same ID and the model that is staged on their host. All
// others are replaced.
func (r *run) restartWorker(w *standin.Worker) {
	r.mu.Lock()
	keepsID := r.opts.WorkersKeepIDs && r.startedWorkers%2 == 0
	r.mu.Unlock()
	if !keepsID {
		r.replaceWorker(w)
		return
	}
	spec := w.Spec()
	spec.Address, spec.StagedModel = "", w.StagedModel()
	r.recordError(r.startWorker(spec))
}

// startDaemon starts the ith daemon. Its connections from callers and to the store go through
// proxies.
func (r *run) startDaemon(i int) error {
	const firstHostNumber = 2
	ip := fmt.Sprintf("%s.%d", r.opts.AddressPrefix, firstHostNumber+i)
	ports, err := findFreePorts(ip, 4)
	if err != nil {
		return err
	}
	storeServer := httptest.NewServer(r.store)
	r.storeServers = append(r.storeServers, storeServer)
	storeProxy, err := newProxy(r.opts.AddressPrefix+".1", storeServer.Listener.Addr().String())
	if err != nil {
		return failure.Wrap(failure.Unavailable, "open link to the store", ip, err)
	}
	d := &daemon{programOf: r.opts.programsOf(i), storeProxy: storeProxy, onLeading: r.recordLeader, settings: standin.DaemonSettings{
		Name: fmt.Sprintf("daemon-%d", i), Zone: r.hallOfDaemon(i), Zones: r.daemonHalls(), IP: ip, StoreAddress: storeProxy.address(),
		Front: ports[0], Ready: ports[1], Directory: ports[2], Peer: ports[3],
		Timing: timing, StopGracePeriod: stopGrace, RevocationBound: revocationBound, LoadLimit: modelLoadLimit, Halls: r.hallRules(),
	}}
	if d.frontProxy, err = newProxy(r.opts.AddressPrefix+".1", d.frontAddress()); err == nil {
		d.directoryProxy, err = newProxy(r.opts.AddressPrefix+".1", fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	if err != nil {
		return failure.Wrap(failure.Unavailable, "open links to a daemon", ip, err)
	}
	if err := d.prepareFiles(r.opts.Dir); err != nil {
		return err
	}
	r.daemons = append(r.daemons, d)
	r.daemonsByAddress[d.frontAddress()] = d
	return d.start()
}

// frontAddress returns the address that the daemon announces to callers.
func (d *daemon) frontAddress() string {
	return fmt.Sprintf("%s:%d", d.settings.IP, d.settings.Front)
}

func (r *run) recordLeader(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastLeader = d
}

// leader returns the daemon that most recently became leader, or the first daemon if none has.
func (r *run) leader() *daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastLeader == nil {
		return r.daemons[0]
	}
	return r.lastLeader
}

// settledSince returns the time by which daemons must have read all updates that the last fault
// blocked. It returns false while a fault may block updates, and for settleTime after the fault.
func (r *run) settledSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unblockedSince.Add(settleTime), r.blockingFaults == 0 && time.Since(r.unblockedSince) > settleTime
}

// injectScheduledFaults starts the callers, injects the faults, and checks that the system recovers
// afterwards.
func (r *run) injectScheduledFaults(ctx, backgroundCtx context.Context, group *conc.WaitGroup) error {
	if !r.awaitServing(ctx) {
		return failure.New(failure.Unavailable, "start", r.opts.Dir, "no replica serves within %s", startTimeout)
	}
	// The rate of model loads is checked from the first request on. The pause lets the initial
	// loads end before that.
	sleep(ctx, settleTime)
	r.startCallers(backgroundCtx, group)
	time.Sleep(time.Second)
	var series conc.WaitGroup
	for i := range r.opts.SeriesCount {
		series.Go(func() { r.injectSeries(ctx, i) })
	}
	r.startOptionalSeries(ctx, &series)
	series.Wait()
	if !r.awaitRecovery(ctx) {
		served, total := r.callers.countServed(time.Now().Add(-recoveryWindow))
		r.ledger.RecordViolation("RECOVER", "%d of %d requests are served %s after the last fault", served, total, recoveryTimeout)
	}
	r.checkPlannedLeaves(ctx)
	return ctx.Err()
}

// startOptionalSeries starts the series of faults that options add.
func (r *run) startOptionalSeries(ctx context.Context, series *conc.WaitGroup) {
	if r.opts.HallFaults {
		series.Go(func() { r.injectFaults(ctx, hallSchedule(r.opts.Seed, r.opts.Duration), hallFaults) })
	}
	if r.opts.StoreRestores {
		series.Go(func() { r.injectFaults(ctx, restoreSchedule(r.opts.Seed, r.opts.Duration), restoreFaults) })
	}
	if r.opts.WorkerSignals {
		series.Go(func() { r.injectFaults(ctx, announcementSchedule(r.opts.Seed, r.opts.Duration), announcementFaults) })
	}
	if r.opts.WorkerPauses {
		series.Go(func() { r.injectFaults(ctx, pauseSchedule(r.opts.Seed, r.opts.Duration), pauseFaults) })
	}
	if r.opts.WorkerSpoils {
		series.Go(func() { r.injectFaults(ctx, spoilSchedule(r.opts.Seed, r.opts.Duration), spoilFaults) })
	}
	if r.opts.DaemonStops {
		for _, scheduled := range r.opts.stopSchedules() {
			series.Go(func() { r.injectFaults(ctx, scheduled, stopFaults) })
		}
	}
}

// startCallers starts the callers, which send requests until ctx is done.
func (r *run) startCallers(ctx context.Context, group *conc.WaitGroup) {
	for i := range r.opts.callerCount() {
		c := newCaller(r, i)
		group.Go(func() { c.sendRequests(ctx) })
	}
	if r.opts.CrashingRequest {
		group.Go(func() { r.sendCrashingRequests(ctx, crashingBodyCaller) })
	}
	if r.opts.CrashingPart {
		group.Go(func() { r.sendCrashingRequests(ctx, crashingPartCaller) })
	}
}

func (r *run) awaitServing(ctx context.Context) bool {
	const pollInterval = 50 * time.Millisecond
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if len(r.fabric.CompleteOpenGroups()) == len(r.models) {
			return true
		}
	}
	return false
}

// injectSeries injects the faults of one series.
func (r *run) injectSeries(ctx context.Context, series int) {
	r.injectFaults(ctx, schedule(r.opts.Seed, series, r.opts.Duration), faults)
}

// injectFaults injects the scheduled faults one after the other.
func (r *run) injectFaults(ctx context.Context, scheduled []scheduledFault, faultsByName map[string]fault) {
	for _, s := range scheduled {
		if !sleep(ctx, s.pause) {
			return
		}
		f := faultsByName[s.name]
		r.opts.Logger.Debug("fault", "kind", s.name, "lasts", s.duration.String())
		r.countFaultStart(f)
		revert := f.inject(r, rand.New(rand.NewPCG(s.targetSeed, 0)))
		sleep(ctx, max(s.duration, f.minDuration))
		revert()
		r.countFaultEnd(f)
	}
}

// countFaultStart counts an injected fault. If it may block updates, it also counts it as active.
func (r *run) countFaultStart(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCount++
	if f.blocksUpdates {
		r.blockingFaults++
	}
}

// countFaultEnd records the end of a fault that may block updates.
func (r *run) countFaultEnd(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.blocksUpdates {
		r.blockingFaults--
		r.unblockedSince = time.Now()
	}
}

// wasFaultFreeAt reports whether the system had recovered from all faults before a time.
func (r *run) wasFaultFreeAt(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.faultFreeSince.IsZero() && r.faultFreeSince.Before(t)
}

// checkPlannedLeaves drains workers and stops a daemon after all faults have ended. From then on,
// callers also report responses that are cut off as violations.
func (r *run) checkPlannedLeaves(ctx context.Context) {
	sleep(ctx, settleTime)
	r.mu.Lock()
	r.faultFreeSince = time.Now()
	r.mu.Unlock()
	// The pause ensures that requests in flight during the drain were sent after faultFreeSince.
	sleep(ctx, settleTime/2)
	random := rand.New(rand.NewPCG(r.opts.Seed, 0))
	for _, service := range []string{standin.PlainService, standin.ModelService} {
		if all := r.fabric.Workers(service); len(all) > 0 {
			r.replaceWorker(all[0])
			all[0].Drain()
		}
	}
	r.stopDaemon(random)()
	sleep(ctx, timing.Drain)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// awaitRecovery waits until most requests are served again. It returns false if that takes longer
// than recoveryTimeout.
func (r *run) awaitRecovery(ctx context.Context) bool {
	faultsEndedAt := time.Now()
	for time.Since(faultsEndedAt) < recoveryTimeout && ctx.Err() == nil {
		time.Sleep(recoveryWindow / 4)
		if time.Since(faultsEndedAt) < recoveryWindow {
			continue
		}
		served, total := r.callers.countServed(time.Now().Add(-recoveryWindow))
		if total > 0 && float64(served) >= minServedShare*float64(total) {
			return true
		}
	}
	return false
}

// checkAtEnd reports two kinds of violations. One is a request that was executed although its
// response guaranteed the opposite. The other is a daemon that exited unexpectedly.
func (r *run) checkAtEnd() {
	for _, id := range r.callers.notExecuted {
		if r.ledger.Runs(id) > 0 {
			r.ledger.RecordViolation("REFUSED", "%s ran though its caller was told that it would not", id)
		}
	}
	for _, d := range r.daemons {
		if d.unexpectedExits > 0 {
			r.ledger.RecordViolation("ENDS", "%s ended by itself %d times", d.settings.Name, d.unexpectedExits)
		}
	}
}

// isClosing reports whether the soak is shutting down.
func (r *run) isClosing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

// close stops the daemons and workers and closes all proxies.
func (r *run) close() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	var group conc.WaitGroup
	for _, d := range r.daemons {
		group.Go(func() {
			d.signal(syscall.SIGCONT)
			d.mu.Lock()
			d.restartDisabled = true
			d.mu.Unlock()
			if !d.stop() && r.err == nil {
				r.opts.Logger.Warn("a daemon did not stop in time", "daemon", d.settings.Name)
			}
			d.frontProxy.close()
			d.directoryProxy.close()
			d.storeProxy.close()
		})
	}
	group.Wait()
	if r.fabric != nil {
		for _, service := range []string{standin.ModelService, standin.PlainService} {
			for _, w := range r.fabric.Workers(service) {
				w.Crash()
			}
		}
	}
	for _, workerProxy := range r.workerProxies {
		workerProxy.close()
	}
	for _, server := range r.storeServers {
		server.CloseClientConnections()
		_ = server.Listener.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// NewDir creates a temporary directory for the settings and logs of a soak.
func NewDir(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("quartzshelf-soak-%d-", seed))
	if err != nil {
		return "", failure.Wrap(failure.Unavailable, "make directory", "soak", err)
	}
	return dir, nil
}
