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

// injectFunc injects a fault and returns the function that ends it.
type injectFunc func(r *run, random *rand.Rand) (revert func())

// fault is one kind of fault.
type fault struct {
	inject injectFunc
	// blocksUpdates is true if the fault may keep daemons from reading updates in the store.
	blocksUpdates bool
	// minDuration is the minimum duration of the fault.
	minDuration time.Duration
}

// minRevocationOutage is the minimum duration of an outage during which a key is revoked. It
// exceeds revocationBound, so that daemons must reject the key before the outage ends.
const minRevocationOutage = revocationBound + 3*time.Second

const (
	// minLateOrdersDuration is the minimum duration of the fault that delays orders and crashes
	// workers. It is long enough for groups to dissolve and form again while earlier orders are
	// still delayed.
	minLateOrdersDuration = 10 * time.Second
	// crashInterval is the time between two crashes while orders are delayed. It exceeds the
	// usual time to form a group.
	crashInterval = 1500 * time.Millisecond
)

// faults maps names to the faults that can occur in every soak. Other faults need an option.
var faults = map[string]fault{
	"daemon-kill":      {blocksUpdates: true, inject: func(r *run, random *rand.Rand) func() { return r.killDaemons(random, 1) }},
	"daemon-kill-many": {blocksUpdates: true, inject: func(r *run, random *rand.Rand) func() { return r.killDaemons(random, len(r.daemons)) }},
	"daemon-freeze":    {blocksUpdates: true, inject: func(r *run, random *rand.Rand) func() { return r.freezeDaemon(r.pickDaemon(random)) }},
	"leader-kill":      {blocksUpdates: true, inject: func(r *run, _ *rand.Rand) func() { r.leader().kill(false); return noRevert }},
	"leader-freeze":    {blocksUpdates: true, inject: func(r *run, _ *rand.Rand) func() { return r.freezeDaemon(r.leader()) }},
	"daemon-stop":      {inject: (*run).stopDaemon},
	"store-silent":     {blocksUpdates: true, inject: newStoreFault(standin.StoreFaults{Silent: true})},
	"store-busy":       {blocksUpdates: true, inject: newStoreFault(standin.StoreFaults{Status: http.StatusServiceUnavailable})},
	"store-reset":      {blocksUpdates: true, inject: newStoreFault(standin.StoreFaults{Reset: true})},
	"store-slow":       {blocksUpdates: true, inject: newStoreFault(standin.StoreFaults{ResponseDelay: 250 * time.Millisecond})},
	"store-loses":      {blocksUpdates: true, inject: newStoreFault(standin.StoreFaults{LoseResponses: 0.4, DelayAppends: 0.2})},
	"store-lapse":      {blocksUpdates: true, inject: (*run).dropWorkerList},
	"store-revokes":    {blocksUpdates: true, inject: (*run).revokeKeyDuringOutage, minDuration: minRevocationOutage},
	"store-forgets":    {inject: (*run).trimStore},
	"store-turns-away": {blocksUpdates: true, inject: func(r *run, random *rand.Rand) func() {
		return r.injectLinkFault(r.pickDaemon(random).storeProxy, random)
	}},
	"store-turns-leader":   {blocksUpdates: true, inject: func(r *run, random *rand.Rand) func() { return r.injectLinkFault(r.leader().storeProxy, random) }},
	"worker-crash":         {inject: (*run).crashWorkers},
	"workers-renewed":      {inject: (*run).replaceHalfOfWorkers},
	"worker-dark":          {inject: (*run).makeWorkersUnreachable},
	"worker-cut":           {inject: (*run).cutWorkersFromStore},
	"worker-leaves":        {inject: (*run).drainWorker},
	"worker-link":          {inject: (*run).injectWorkerLinkFaults},
	"workers-slow":         {inject: newWorkerFault(standin.WorkerFaults{SlowFactor: 6})},
	"workers-reject":       {inject: newWorkerFault(standin.WorkerFaults{Reject: 0.4})},
	"workers-lose-answers": {inject: newWorkerFault(standin.WorkerFaults{LoseResponses: 0.2, CutResponses: 0.2})},
	"workers-add-answers":  {inject: newWorkerFault(standin.WorkerFaults{DuplicateResponses: 0.3})},
	"orders-late":          {inject: newWorkerFault(standin.WorkerFaults{LateOrders: 0.5})},
	"orders-late-crashes":  {inject: (*run).delayOrdersAndCrash, minDuration: minLateOrdersDuration},
	"store-conns-silent":   {blocksUpdates: true, inject: (*run).silenceStoreConnections},
	"worker-conns-silent":  {inject: (*run).silenceWorkerConnections},
	"front-link": {inject: func(r *run, random *rand.Rand) func() {
		return r.injectLinkFault(r.pickDaemon(random).frontProxy, random)
	}},
	"operator-change":     {inject: func(r *run, _ *rand.Rand) func() { r.operator.Publish(); return noRevert }},
	"operator-adds-route": {inject: (*run).addRoute},
	"operator-revokes":    {inject: (*run).revokeKey},
}

func faultNames() []string { return slices.Sorted(maps.Keys(faults)) }

func noRevert() {}

func (r *run) pickDaemon(random *rand.Rand) *daemon { return r.daemons[random.IntN(len(r.daemons))] }

// killDaemons kills up to maxCount daemons. Some of them stay down until the fault ends.
func (r *run) killDaemons(random *rand.Rand, maxCount int) func() {
	var down []*daemon
	for _, i := range random.Perm(len(r.daemons))[:1+random.IntN(maxCount)] {
		d := r.daemons[i]
		staysDown := random.IntN(2) == 0
		d.kill(staysDown)
		if staysDown {
			down = append(down, d)
		}
	}
	return func() {
		for _, d := range down {
			r.recordError(d.enableRestart())
		}
	}
}

func (r *run) freezeDaemon(d *daemon) func() {
	setFrozen := func(frozen bool, s syscall.Signal) {
		d.signal(s)
		d.mu.Lock()
		d.frozen = frozen
		d.mu.Unlock()
	}
	setFrozen(true, syscall.SIGSTOP)
	return func() { setFrozen(false, syscall.SIGCONT) }
}

// stopDaemon stops a daemon with SIGTERM. The daemon then restarts. The returned function waits
// until the daemon has stopped.
func (r *run) stopDaemon(random *rand.Rand) func() {
	d := r.pickDaemon(random)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.stopAndCheck(d)
	}()
	return func() { <-stopped }
}

// stopAndCheck stops a daemon with SIGTERM and waits for its end. It records a violation if the daemon doesn't
// end within its grace period.
func (r *run) stopAndCheck(d *daemon) {
	started := time.Now()
	if !d.stop() && d.isUndisturbedSince(started) {
		r.ledger.RecordViolation("STOP", "%s did not end within its grace", d.settings.Name)
	}
}

// newStoreFault returns a function that injects faults into the store for all daemons.
func newStoreFault(f standin.StoreFaults) injectFunc {
	return func(r *run, _ *rand.Rand) func() {
		r.store.SetFaults(f)
		return func() { r.store.SetFaults(standin.StoreFaults{}) }
	}
}

// dropWorkerList makes the store unresponsive and drops the entries of all workers from it.
func (r *run) dropWorkerList(*rand.Rand) func() {
	r.store.SetFaults(standin.StoreFaults{Silent: true})
	r.fabric.DropWorkerList()
	return func() { r.store.SetFaults(standin.StoreFaults{}) }
}

// revokeKeyDuringOutage revokes a key while no daemon can read the store.
func (r *run) revokeKeyDuringOutage(random *rand.Rand) func() {
	// The store still answers reads that were waiting when the outage began. The pause lets them
	// end.
	const pendingReadTime = 500 * time.Millisecond
	r.store.SetFaults(standin.StoreFaults{Silent: true})
	time.Sleep(pendingReadTime)
	r.revokeKey(random)
	return func() { r.store.SetFaults(standin.StoreFaults{}) }
}

func (r *run) trimStore(*rand.Rand) func() {
	r.store.Compact(standin.TopicWorkers)
	r.store.Compact(standin.TopicOperator)
	return noRevert
}

// injectLinkFault sets a random fault on a proxy.
func (r *run) injectLinkFault(p *proxy, random *rand.Rand) func() {
	kinds := []linkFault{linkSilent, linkOneWay, linkReset, linkSlow, linkLowBandwidth}
	p.setFault(kinds[random.IntN(len(kinds))])
	return func() { p.setFault(linkHealthy) }
}

// newWorkerFault returns a function that injects faults into all workers.
func newWorkerFault(f standin.WorkerFaults) injectFunc {
	return func(r *run, _ *rand.Rand) func() {
		r.fabric.SetFaults(f)
		return func() { r.fabric.SetFaults(standin.WorkerFaults{}) }
	}
}

// shuffledWorkers returns all workers of the model service in random order.
func (r *run) shuffledWorkers(random *rand.Rand) []*standin.Worker {
	all := r.fabric.Workers(standin.ModelService)
	slices.SortFunc(all, func(a, b *standin.Worker) int { return cmp.Compare(a.ID(), b.ID()) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// pickWorkers returns one to three random workers of the model service.
func (r *run) pickWorkers(random *rand.Rand) []*standin.Worker {
	const maxWorkers = 3
	all := r.shuffledWorkers(random)
	return all[:min(len(all), 1+random.IntN(maxWorkers))]
}

// crashWorkers crashes a few workers and restarts or replaces them when the fault ends.
func (r *run) crashWorkers(random *rand.Rand) func() {
	crashed := r.pickWorkers(random)
	for _, w := range crashed {
		w.Crash()
	}
	return func() {
		for _, w := range crashed {
			r.restartWorker(w)
		}
	}
}

// delayOrdersAndCrash delays most orders to workers, and crashes a random worker every
// crashInterval. Groups are thus dissolved and formed again while orders are pending.
func (r *run) delayOrdersAndCrash(random *rand.Rand) func() {
	revertDelay := newWorkerFault(standin.WorkerFaults{LateOrders: 0.8})(r, random)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(crashInterval):
			}
			all := r.fabric.Workers(standin.ModelService)
			w := all[random.IntN(len(all))]
			w.Crash()
			r.restartWorker(w)
		}
	}()
	return func() {
		close(stop)
		<-done
		revertDelay()
	}
}

// replaceHalfOfWorkers crashes half of the model workers and immediately restarts or replaces them.
func (r *run) replaceHalfOfWorkers(random *rand.Rand) func() {
	all := r.fabric.Workers(standin.ModelService)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, w := range all[:len(all)/2] {
		w.Crash()
		r.restartWorker(w)
	}
	return noRevert
}

func (r *run) makeWorkersUnreachable(random *rand.Rand) func() {
	affected := r.pickWorkers(random)
	setSilent := func(silent bool, link linkFault) {
		for _, w := range affected {
			w.SetSilent(silent)
			r.proxyOf(w).setFault(link)
		}
	}
	setSilent(true, linkSilent)
	return func() { setSilent(false, linkHealthy) }
}

func (r *run) cutWorkersFromStore(random *rand.Rand) func() {
	affected := r.pickWorkers(random)
	for _, w := range affected {
		w.SetCutFromStore(true)
	}
	return func() {
		for _, w := range affected {
			w.SetCutFromStore(false)
		}
	}
}

// drainWorker starts a replacement for a worker and then drains the worker.
func (r *run) drainWorker(random *rand.Rand) func() {
	candidates := r.pickWorkers(random)
	if random.IntN(2) == 0 {
		candidates = r.fabric.Workers(standin.PlainService)
	}
	if len(candidates) == 0 {
		return noRevert
	}
	r.replaceWorker(candidates[0])
	candidates[0].Drain()
	return noRevert
}

func (r *run) injectWorkerLinkFaults(random *rand.Rand) func() {
	var reverts []func()
	for _, w := range r.pickWorkers(random) {
		reverts = append(reverts, r.injectLinkFault(r.proxyOf(w), random))
	}
	return func() {
		for _, revert := range reverts {
			revert()
		}
	}
}

// silenceStoreConnections permanently silences the open connections of all daemons to the store.
func (r *run) silenceStoreConnections(*rand.Rand) func() {
	for _, d := range r.daemons {
		d.storeProxy.silenceConnections()
	}
	return noRevert
}

// silenceWorkerConnections permanently silences the open connections to a few workers.
func (r *run) silenceWorkerConnections(random *rand.Rand) func() {
	for _, w := range r.pickWorkers(random) {
		r.proxyOf(w).silenceConnections()
	}
	return noRevert
}

func (r *run) addRoute(*rand.Rand) func() {
	r.addRouteOnce.Do(func() {
		r.operator.AddRoute()
		r.operator.Publish()
		r.callers.markRoutePublished()
	})
	return noRevert
}

// revokeKey revokes a key. It does nothing if one key of each tenant is already revoked.
func (r *run) revokeKey(*rand.Rand) func() {
	if key, ok := r.callers.chooseKeyToRevoke(); ok {
		r.operator.Revoke(key)
		r.operator.Publish()
		r.callers.recordRevocation(key, time.Now())
	}
	return noRevert
}
