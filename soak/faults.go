package soak

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"quartzshelf.dev/platform/standin"
)

// strike harms the system until the returned function mends it.
type strike func(r *run, random *rand.Rand) (mend func())

// fault is one kind of fault.
type fault struct {
	strike strike
	// blinds tells that it may keep daemons from learning what the store knows.
	blinds bool
	// least is the least time that it lasts.
	least time.Duration
}

// longAway is long enough for keys that were taken away to be void everywhere.
const longAway = revokeBound + 3*time.Second

const (
	// longLate is long enough for orders to come late to groups that were formed,
	// dissolved and formed again meanwhile.
	longLate = 10 * time.Second
	// crashEvery is the time between two crashes in it: groups are formed again
	// in about a second while most orders get no answer.
	crashEvery = 1500 * time.Millisecond
)

// faults holds all kinds of faults by name.
var faults = map[string]fault{
	"daemon-kill":          {blinds: true, strike: func(r *run, random *rand.Rand) func() { return r.killDaemons(random, 1) }},
	"daemon-kill-many":     {blinds: true, strike: func(r *run, random *rand.Rand) func() { return r.killDaemons(random, len(r.daemons)) }},
	"daemon-freeze":        {blinds: true, strike: func(r *run, random *rand.Rand) func() { return r.freeze(r.anyDaemon(random)) }},
	"leader-kill":          {blinds: true, strike: func(r *run, _ *rand.Rand) func() { r.leader().kill(false); return nothing }},
	"leader-freeze":        {blinds: true, strike: func(r *run, _ *rand.Rand) func() { return r.freeze(r.leader()) }},
	"daemon-stop":          {strike: (*run).stopDaemon},
	"store-silent":         {blinds: true, strike: storeFault(standin.Faults{Silent: true})},
	"store-busy":           {blinds: true, strike: storeFault(standin.Faults{Status: http.StatusServiceUnavailable})},
	"store-reset":          {blinds: true, strike: storeFault(standin.Faults{Reset: true})},
	"store-slow":           {blinds: true, strike: storeFault(standin.Faults{Slow: 250 * time.Millisecond})},
	"store-loses":          {blinds: true, strike: storeFault(standin.Faults{Lose: 0.4, LoseLate: 0.2})},
	"store-lapse":          {blinds: true, strike: (*run).lapse},
	"store-revokes":        {blinds: true, strike: (*run).revokeUnseen, least: longAway},
	"store-forgets":        {strike: (*run).forget},
	"store-turns-away":     {blinds: true, strike: func(r *run, random *rand.Rand) func() { return r.harm(r.anyDaemon(random).store, random) }},
	"store-turns-leader":   {blinds: true, strike: func(r *run, random *rand.Rand) func() { return r.harm(r.leader().store, random) }},
	"worker-crash":         {strike: (*run).crashWorkers},
	"workers-renewed":      {strike: (*run).renewWorkers},
	"worker-dark":          {strike: (*run).darkenWorkers},
	"worker-cut":           {strike: (*run).cutWorkers},
	"worker-leaves":        {strike: (*run).drainWorker},
	"worker-link":          {strike: (*run).harmWorkers},
	"workers-slow":         {strike: workerFault(standin.WorkerFaults{Slow: 6})},
	"workers-reject":       {strike: workerFault(standin.WorkerFaults{Reject: 0.4})},
	"workers-lose-answers": {strike: workerFault(standin.WorkerFaults{Lose: 0.2, Cut: 0.2})},
	"workers-add-answers":  {strike: workerFault(standin.WorkerFaults{Surplus: 0.3})},
	"orders-late":          {strike: workerFault(standin.WorkerFaults{Late: 0.5})},
	"orders-late-crashes":  {strike: (*run).lateAndCrash, least: longLate},
	"store-conns-silent":   {blinds: true, strike: (*run).silenceStore},
	"worker-conns-silent":  {strike: (*run).silenceWorkers},
	"front-link":           {strike: func(r *run, random *rand.Rand) func() { return r.harm(r.anyDaemon(random).front, random) }},
	"operator-change":      {strike: func(r *run, _ *rand.Rand) func() { r.operator.Publish(); return nothing }},
	"operator-adds-route":  {strike: (*run).addRoute},
	"operator-revokes":     {strike: (*run).revoke},
}

func faultNames() []string { return slices.Sorted(maps.Keys(faults)) }

func nothing() {}

func (r *run) anyDaemon(random *rand.Rand) *daemon { return r.daemons[random.IntN(len(r.daemons))] }

// killDaemons kills up to most daemons; some stay off for the fault's time.
func (r *run) killDaemons(random *rand.Rand, most int) func() {
	var off []*daemon
	for _, i := range random.Perm(len(r.daemons))[:1+random.IntN(most)] {
		d := r.daemons[i]
		stays := random.IntN(2) == 0
		d.kill(stays)
		if stays {
			off = append(off, d)
		}
	}
	return func() {
		for _, d := range off {
			r.check(d.revive())
		}
	}
}

func (r *run) freeze(d *daemon) func() {
	set := func(frozen bool, s syscall.Signal) {
		d.signal(s)
		d.mu.Lock()
		d.frozen = frozen
		d.mu.Unlock()
	}
	set(true, syscall.SIGSTOP)
	return func() { set(false, syscall.SIGCONT) }
}

// stopDaemon stops a daemon as planned; it starts again by itself.
func (r *run) stopDaemon(random *rand.Rand) func() {
	d := r.anyDaemon(random)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		started := time.Now()
		if !d.stop() && d.quietSince(started) {
			r.ledger.Broken("STOP", "%s did not end within its grace", d.settings.Name)
		}
	}()
	return func() { <-stopped }
}

// storeFault returns a fault of the whole store.
func storeFault(f standin.Faults) strike {
	return func(r *run, _ *rand.Rand) func() {
		r.store.SetFaults(f)
		return func() { r.store.SetFaults(standin.Faults{}) }
	}
}

// lapse takes the store away, and the workers' entries with it.
func (r *run) lapse(*rand.Rand) func() {
	r.store.SetFaults(standin.Faults{Silent: true})
	r.fabric.Lapse()
	return func() { r.store.SetFaults(standin.Faults{}) }
}

// revokeUnseen takes a key away while no daemon reaches the store.
func (r *run) revokeUnseen(random *rand.Rand) func() {
	// Reads that wait already are still answered.
	const waitingReads = 500 * time.Millisecond
	r.store.SetFaults(standin.Faults{Silent: true})
	time.Sleep(waitingReads)
	r.revoke(random)
	return func() { r.store.SetFaults(standin.Faults{}) }
}

func (r *run) forget(*rand.Rand) func() {
	r.store.Forget(standin.TopicWorkers)
	r.store.Forget(standin.TopicOperator)
	return nothing
}

// harm harms a link in some way.
func (r *run) harm(p *proxy, random *rand.Rand) func() {
	kinds := []linkFault{linkSilent, linkOneWay, linkReset, linkSlow, linkNarrow}
	p.set(kinds[random.IntN(len(kinds))])
	return func() { p.set(linkSound) }
}

// workerFault returns a fault of all workers.
func workerFault(f standin.WorkerFaults) strike {
	return func(r *run, _ *rand.Rand) func() {
		r.fabric.SetFaults(f)
		return func() { r.fabric.SetFaults(standin.WorkerFaults{}) }
	}
}

// someWorkers picks a few workers that live.
func (r *run) someWorkers(random *rand.Rand) []*standin.Worker {
	const most = 3
	all := r.fabric.Workers(standin.ModelService)
	slices.SortFunc(all, func(a, b *standin.Worker) int { return cmp.Compare(a.ID(), b.ID()) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+random.IntN(most))]
}

// crashWorkers ends workers; others take their places when it is mended.
func (r *run) crashWorkers(random *rand.Rand) func() {
	struck := r.someWorkers(random)
	for _, w := range struck {
		w.Crash()
	}
	return func() {
		for _, w := range struck {
			r.restart(w)
		}
	}
}

// lateAndCrash lets most orders be carried out late and meanwhile crashes one
// worker after the other, so that groups are dissolved and formed again.
func (r *run) lateAndCrash(random *rand.Rand) func() {
	late := workerFault(standin.WorkerFaults{Late: 0.8})(r, random)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(crashEvery):
			}
			all := r.fabric.Workers(standin.ModelService)
			w := all[random.IntN(len(all))]
			w.Crash()
			r.restart(w)
		}
	}()
	return func() {
		close(stop)
		<-done
		late()
	}
}

// renewWorkers ends half of the workers and starts empty ones in their places,
// which all have to load.
func (r *run) renewWorkers(random *rand.Rand) func() {
	all := r.fabric.Workers(standin.ModelService)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, w := range all[:len(all)/2] {
		w.Crash()
		r.restart(w)
	}
	return nothing
}

func (r *run) darkenWorkers(random *rand.Rand) func() {
	struck := r.someWorkers(random)
	set := func(dark bool, link linkFault) {
		for _, w := range struck {
			w.Darken(dark)
			r.linkOf(w).set(link)
		}
	}
	set(true, linkSilent)
	return func() { set(false, linkSound) }
}

func (r *run) cutWorkers(random *rand.Rand) func() {
	struck := r.someWorkers(random)
	for _, w := range struck {
		w.Cut(true)
	}
	return func() {
		for _, w := range struck {
			w.Cut(false)
		}
	}
}

// drainWorker lets a worker leave as planned; another one takes its place.
func (r *run) drainWorker(random *rand.Rand) func() {
	all := r.someWorkers(random)
	if random.IntN(2) == 0 {
		all = r.fabric.Workers(standin.PlainService)
	}
	if len(all) == 0 {
		return nothing
	}
	r.replace(all[0])
	all[0].Drain()
	return nothing
}

func (r *run) harmWorkers(random *rand.Rand) func() {
	var mends []func()
	for _, w := range r.someWorkers(random) {
		mends = append(mends, r.harm(r.linkOf(w), random))
	}
	return func() {
		for _, mend := range mends {
			mend()
		}
	}
}

// silenceStore lets the connections of all daemons to the store go silent for good.
func (r *run) silenceStore(*rand.Rand) func() {
	for _, d := range r.daemons {
		d.store.silence()
	}
	return nothing
}

// silenceWorkers does the same to the connections to a few workers.
func (r *run) silenceWorkers(random *rand.Rand) func() {
	for _, w := range r.someWorkers(random) {
		r.linkOf(w).silence()
	}
	return nothing
}

func (r *run) addRoute(*rand.Rand) func() {
	r.once.Do(func() {
		r.operator.AddRoute()
		r.operator.Publish()
		r.callers.routeAdded()
	})
	return nothing
}

// revoke takes away the oldest key that is in use, and leaves some.
func (r *run) revoke(*rand.Rand) func() {
	if key, ok := r.callers.revokeKey(); ok {
		r.operator.Revoke(key)
		r.operator.Publish()
		r.callers.revoked(key, time.Now())
	}
	return nothing
}
