// Package soak plays random faults against real daemons, each a process of its
// own, before a stand-in of the platform in this process, and checks what must
// always hold from what callers and workers see. The faults come from outside:
// links of the soak's own that are cut or slowed, signals, and a store and
// workers that misbehave, in series that overlap. A seed gives the same faults
// again; how processes meet them differs from run to run.
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
	// Program is the daemon's program, Dir where settings and logs go.
	Program, Dir string
	// Earlier is the program of an earlier build, Mix how both run side by side.
	Earlier string
	Mix     Mix
	// Host is the part of the loopback addresses before the last number, which
	// is of this soak alone.
	Host             string
	Daemons, Workers int
	Callers, Series  int
	// Duration is how long faults strike.
	Duration time.Duration
	// Crashing adds a request that ends each worker which runs it and comes again and again.
	Crashing bool
	// Reborn lets workers come back under their id.
	Reborn bool
	// Asking lets workers name limits, ask for rest and say in answers that they leave.
	Asking bool
	// Drills lets the store come back from a copy that is seconds old.
	Drills bool
	// Halls adds data halls that are closed, lost and cold, and a second region.
	Halls  bool
	Logger hclog.Logger
}

// Result is what a soak found.
type Result struct {
	Seed       uint64
	Violations []standin.Violation
	// Totals counts how requests ended.
	Totals map[string]int
	// Faults counts the faults that struck.
	Faults int
	// Crashed counts the workers that a request ended.
	Crashed int
}

// Timing of a soak and its stand-ins.
var timing = standin.Timing{
	Heartbeat: 500 * time.Millisecond, Load: 2500 * time.Millisecond, Warm: 400 * time.Millisecond, Hot: 100 * time.Millisecond,
	Form: 100 * time.Millisecond, Stall: 3 * time.Second, Drain: 2 * time.Second,
	ReportLag: 200 * time.Millisecond,
	Event:     15 * time.Millisecond, Work: 10 * time.Millisecond,
}

var ceiling = standin.Ceiling{PerSecond: 1, Window: 5 * time.Second, Over: 1.1, Extra: 3}

const (
	slots          = 12
	domainSize     = 8
	plainWorkers   = 3
	grace          = 8 * time.Second
	startWithin    = 15 * time.Second
	recoverWithin  = 20 * time.Second
	recoverWindow  = 3 * time.Second
	recoveredShare = 0.9
	// settleFor is how long after a fault that kept daemons from learning they
	// may not know yet what they missed.
	settleFor = 3 * time.Second
)

// run is one soak.
type run struct {
	opts     Options
	store    *standin.Store
	ledger   *standin.Ledger
	fabric   *standin.Fabric
	operator *standin.Operator
	callers  *callers
	models   []standin.Model
	daemons  []*daemon
	byFront  map[string]*daemon
	once     sync.Once
	stores   []*httptest.Server

	mu      sync.Mutex
	links   map[string]*proxy
	started int
	// blinding counts the faults under way that may keep daemons from learning,
	// calmSince is since when there has been none.
	blinding  int
	calmSince time.Time
	struck    int
	// peaceAt is since when nothing is wrong any more; zero before.
	peaceAt time.Time
	lastLed *daemon
	// over tells that nothing is to be started any more.
	over bool
	err  error
}

// Run plays one soak. An error says that it could not be played.
func Run(ctx context.Context, opts Options) (Result, error) {
	r := &run{
		opts: opts, store: standin.NewStore(), ledger: standin.NewLedger(), callers: newCallers(),
		models:  []standin.Model{{Name: "big", Size: 4, Share: 0.5}, {Name: "small", Size: 2, Share: 0.5}},
		byFront: make(map[string]*daemon), links: make(map[string]*proxy), calmSince: time.Now(),
	}
	defer r.close()
	if err := r.prepare(); err != nil {
		return Result{}, err
	}
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { r.fabric.Run(background) })
	err := r.play(ctx, background, &group)
	cancel()
	group.Wait()
	r.end()
	return Result{Seed: opts.Seed, Violations: r.ledger.Violations(), Totals: r.callers.totals(), Faults: r.struck, Crashed: r.fabric.CrashedUnder()}, cmp.Or(err, r.err)
}

// prepare starts the stand-in and the daemons.
func (r *run) prepare() error {
	r.fabric = standin.NewFabric(standin.FabricOptions{
		Store: r.store, Ledger: r.ledger, Timing: timing, Models: r.models, Ceiling: ceiling, Calm: r.calm,
		Fenceless: fenceless(r.opts.Seed), Halls: r.halls(), Ended: r.workerEnded, Crashed: r.workerCrashed,
		LinkSound: r.linkSound,
	})
	r.operator = standin.NewOperator(standin.OperatorOptions{
		Store: r.store, Models: r.models, Timing: timing, Ceiling: ceiling, Slots: slots, LoadsAtOnce: 4, Tenants: r.callers.tenants, Halls: r.halls(),
	})
	r.operator.Publish()
	for i := range r.opts.Workers {
		r.check(r.startWorker(standin.WorkerSpec{Service: standin.ModelService, Domain: fmt.Sprintf("domain-%d", i/domainSize), Zone: r.hallOf(i / domainSize), Slots: slots}))
	}
	for i := range plainWorkers {
		r.check(r.startWorker(standin.WorkerSpec{Service: standin.PlainService, Zone: r.hallOf(i), Slots: 2 * slots}))
	}
	for i := range r.opts.Daemons {
		r.check(r.startDaemon(i))
	}
	return r.err
}

// fenceless draws whether the workers of a soak look at fences: not all of the
// users' deployments have workers that do.
func fenceless(seed uint64) bool {
	// Streams of lower numbers draw the series of faults.
	const stream = 1 << 32
	return rand.New(rand.NewPCG(seed, stream)).IntN(2) == 0
}

// check keeps the first error that kept the soak from being played.
func (r *run) check(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = cmp.Or(r.err, err)
}

// startWorker starts a worker behind a link of its own.
func (r *run) startWorker(spec standin.WorkerSpec) error {
	r.mu.Lock()
	r.started++
	if spec.ID == "" {
		spec.ID = fmt.Sprintf("w%d", r.started)
	}
	if spec.Zone == "" {
		spec.Zone = zoneName(r.started % 2)
	}
	r.mu.Unlock()
	var link *proxy
	var err error
	_, startErr := r.fabric.StartWorker(r.opts.Host+".1", spec, func(own string) string {
		if link, err = newProxy(r.opts.Host+".1", own); err != nil {
			return own
		}
		r.mu.Lock()
		r.links[spec.ID] = link
		r.mu.Unlock()
		return link.address()
	})
	if cause := cmp.Or(startErr, err); cause != nil {
		return failure.At(failure.Unavailable, "start worker", spec.ID, cause)
	}
	return nil
}

// linkOf returns the link before a worker.
func (r *run) linkOf(w *standin.Worker) *proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[w.ID()]
}

// replace starts an empty worker in a worker's place.
func (r *run) replace(w *standin.Worker) {
	spec := w.Spec()
	spec.ID, spec.Address, spec.Staged = "", "", ""
	r.check(r.startWorker(spec))
}

// restart starts a worker that has ended again: where workers come back under their id every
// second one does, with what lies on its host, else another one takes its place.
func (r *run) restart(w *standin.Worker) {
	r.mu.Lock()
	comesBack := r.opts.Reborn && r.started%2 == 0
	r.mu.Unlock()
	if !comesBack {
		r.replace(w)
		return
	}
	spec := w.Spec()
	spec.Address, spec.Staged = "", w.Staged()
	r.check(r.startWorker(spec))
}

// startDaemon starts a daemon with links of its own.
func (r *run) startDaemon(i int) error {
	const first = 2
	ip := fmt.Sprintf("%s.%d", r.opts.Host, first+i)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	server := httptest.NewServer(r.store)
	r.stores = append(r.stores, server)
	link, err := newProxy(r.opts.Host+".1", server.Listener.Addr().String())
	if err != nil {
		return failure.At(failure.Unavailable, "open link to the store", ip, err)
	}
	d := &daemon{program: r.opts.programOf(i), store: link, led: r.noteLeader, settings: standin.DaemonSettings{
		Name: fmt.Sprintf("daemon-%d", i), Zone: r.zoneOfDaemon(i), Zones: r.zones(), IP: ip, Store: link.address(),
		Front: ports[0], Ready: ports[1], Directory: ports[2], Peer: ports[3],
		Timing: timing, Grace: grace, Revoke: revokeBound, Ceiling: ceiling, Halls: r.halls(),
	}}
	if d.front, err = newProxy(r.opts.Host+".1", d.frontAddress()); err == nil {
		d.directory, err = newProxy(r.opts.Host+".1", fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	if err != nil {
		return failure.At(failure.Unavailable, "open links to a daemon", ip, err)
	}
	if err := d.prepare(r.opts.Dir); err != nil {
		return err
	}
	r.daemons = append(r.daemons, d)
	r.byFront[d.frontAddress()] = d
	return d.start()
}

// frontAddress returns where the daemon says that callers reach it.
func (d *daemon) frontAddress() string {
	return fmt.Sprintf("%s:%d", d.settings.IP, d.settings.Front)
}

func (r *run) noteLeader(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastLed = d
}

// leader returns the daemon that led last.
func (r *run) leader() *daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastLed == nil {
		return r.daemons[0]
	}
	return r.lastLed
}

// calm returns since when daemons have had time to learn everything, and
// false while something may keep them from it.
func (r *run) calm() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calmSince.Add(settleFor), r.blinding == 0 && time.Since(r.calmSince) > settleFor
}

// play lets callers call while faults strike, then waits until all is well.
func (r *run) play(ctx, background context.Context, group *conc.WaitGroup) error {
	if !r.awaitServing(ctx) {
		return failure.New(failure.Unavailable, "start", r.opts.Dir, "no replica serves within %s", startWithin)
	}
	// Loads do not count before the first request, and no leader can know of it
	// in the same moment; on the platform requests come seconds after the start.
	sleep(ctx, settleFor)
	for i := range r.opts.Callers {
		c := newCaller(r, i)
		group.Go(func() { c.loop(background) })
	}
	if r.opts.Crashing {
		group.Go(func() { r.sendCrashing(background) })
	}
	time.Sleep(time.Second)
	var series conc.WaitGroup
	for i := range r.opts.Series {
		series.Go(func() { r.strike(ctx, i) })
	}
	if r.opts.Halls {
		series.Go(func() { r.strikeAll(ctx, hallSchedule(r.opts.Seed, r.opts.Duration), hallFaults) })
	}
	if r.opts.Drills {
		series.Go(func() { r.strikeAll(ctx, drillSchedule(r.opts.Seed, r.opts.Duration), drills) })
	}
	if r.opts.Asking {
		series.Go(func() { r.strikeAll(ctx, askSchedule(r.opts.Seed, r.opts.Duration), askFaults) })
	}
	series.Wait()
	if !r.recovered(ctx) {
		served, all := r.callers.served(time.Now().Add(-recoverWindow))
		r.ledger.Broken("RECOVER", "%d of %d requests are served %s after the last fault", served, all, recoverWithin)
	}
	r.leaveInPeace(ctx)
	return ctx.Err()
}

func (r *run) awaitServing(ctx context.Context) bool {
	const look = 50 * time.Millisecond
	for until := time.Now().Add(startWithin); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(look) {
		if len(r.fabric.Serving()) == len(r.models) {
			return true
		}
	}
	return false
}

// strike plays one series of faults.
func (r *run) strike(ctx context.Context, series int) {
	r.strikeAll(ctx, schedule(r.opts.Seed, series, r.opts.Duration), faults)
}

// strikeAll plays faults one after the other.
func (r *run) strikeAll(ctx context.Context, steps []step, kinds map[string]fault) {
	for _, s := range steps {
		if !sleep(ctx, s.after) {
			return
		}
		f := kinds[s.kind]
		r.opts.Logger.Debug("fault", "kind", s.kind, "lasts", s.lasts.String())
		r.begins(f)
		mend := f.strike(r, rand.New(rand.NewPCG(s.pick, 0)))
		sleep(ctx, max(s.lasts, f.least))
		mend()
		r.ended(f)
	}
}

// begins and ended keep count of the faults under way.
func (r *run) begins(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.struck++
	if f.blinds {
		r.blinding++
	}
}

func (r *run) ended(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.blinds {
		r.blinding--
		r.calmSince = time.Now()
	}
}

// peaceSince reports whether all faults had long ended by a time.
func (r *run) peaceSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.peaceAt.IsZero() && r.peaceAt.Before(t)
}

// leaveInPeace lets workers and a daemon leave as planned while nothing else is
// wrong: those promises bind only then.
func (r *run) leaveInPeace(ctx context.Context) {
	sleep(ctx, settleFor)
	r.mu.Lock()
	r.peaceAt = time.Now()
	r.mu.Unlock()
	// Requests that are under way when something leaves began in peace.
	sleep(ctx, settleFor/2)
	random := rand.New(rand.NewPCG(r.opts.Seed, 0))
	for _, service := range []string{standin.PlainService, standin.ModelService} {
		if all := r.fabric.Workers(service); len(all) > 0 {
			r.replace(all[0])
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

// recovered waits until most requests are served again.
func (r *run) recovered(ctx context.Context) bool {
	ended := time.Now()
	for time.Since(ended) < recoverWithin && ctx.Err() == nil {
		time.Sleep(recoverWindow / 4)
		if time.Since(ended) < recoverWindow {
			continue
		}
		served, all := r.callers.served(time.Now().Add(-recoverWindow))
		if all > 0 && float64(served) >= recoveredShare*float64(all) {
			return true
		}
	}
	return false
}

// end checks what only shows at the end: that no request ran which somebody
// was promised would not, and that no daemon ended by itself.
func (r *run) end() {
	for _, id := range r.callers.promises {
		if r.ledger.Runs(id) > 0 {
			r.ledger.Broken("REFUSED", "%s ran though its caller was told that it would not", id)
		}
	}
	for _, d := range r.daemons {
		if d.strangeEnds > 0 {
			r.ledger.Broken("ENDS", "%s ended by itself %d times", d.settings.Name, d.strangeEnds)
		}
	}
}

// isOver reports whether nothing is to be started any more.
func (r *run) isOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

// close ends all that was started.
func (r *run) close() {
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	var group conc.WaitGroup
	for _, d := range r.daemons {
		group.Go(func() {
			d.signal(syscall.SIGCONT)
			d.mu.Lock()
			d.held = true
			d.mu.Unlock()
			if !d.stop() && r.err == nil {
				r.opts.Logger.Warn("a daemon did not stop in time", "daemon", d.settings.Name)
			}
			d.front.close()
			d.directory.close()
			d.store.close()
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
	for _, link := range r.links {
		link.close()
	}
	for _, server := range r.stores {
		server.CloseClientConnections()
		_ = server.Listener.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// NewDir makes a directory for the logs of a soak.
func NewDir(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("quartzshelf-soak-%d-", seed))
	if err != nil {
		return "", failure.At(failure.Unavailable, "make directory", "soak", err)
	}
	return dir, nil
}
