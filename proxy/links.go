package proxy

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/fleet"
)

const (
	// linkCheckFirst is the number of workers that a check of the links connects to first. If none of
	// them is reached, it connects to others, up to linkCheckWorkers in total. Many workers may have
	// failed at once.
	linkCheckFirst   = 2
	linkCheckWorkers = 9
	// firstCheckTimeout and linkCheckTimeout limit the two steps of a check.
	firstCheckTimeout = 100 * time.Millisecond
	linkCheckTimeout  = 200 * time.Millisecond
	// linkCheckTTL is how long a result is reused that says that the links are down. One that says that
	// they are up proves nothing about later failures.
	linkCheckTTL = 100 * time.Millisecond
	// minCheckInterval is the minimum time between the starts of two checks of a service. Failures in
	// that time share the next check.
	minCheckInterval = 25 * time.Millisecond
	// linkCheckInterval is the time between two checks while the links are down.
	linkCheckInterval = 500 * time.Millisecond
	// minRestoredShare is the share of a check's workers that must be reached before links that
	// were down count as up.
	minRestoredShare = 1.0 / 3
	// slowConnect is how long opening a connection may take before the links are checked.
	slowConnect = 150 * time.Millisecond
)

// links detects that this daemon cannot open connections to the workers of a service, although they
// may serve other daemons. One failed connection does not tell whether the worker or the daemon's
// own network failed. Therefore a few other workers of the service are tried before a worker is
// blamed. It is safe for concurrent use.
type links struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	workers func() map[string]*fleet.Worker
	// suspectedHeads returns the IDs of the workers that are suspected to have stopped.
	suspectedHeads func(now time.Time) map[string]bool
	// onChange is called, without the lock, when the links to a service went down or up again.
	onChange func(service string, isDown bool)
	logger   hclog.Logger
	checks   conc.WaitGroup

	mu       sync.Mutex
	services map[string]*serviceLinks
}

// serviceLinks is the state of the links to the workers of one service.
type serviceLinks struct {
	isDown bool
	// check is the current or latest check. next follows it, nil if none does.
	check, next *linkCheck
}

// linkCheck is one check of the links to a service.
type linkCheck struct {
	// startedAt is when the check began, zero before that.
	startedAt time.Time
	// expiresAt is when the result is no longer reused, zero while the check runs. nextAt is when
	// the check is repeated if the links are down.
	expiresAt, nextAt time.Time
	// done is closed when the result is available.
	done chan struct{}
	isUp bool
}

// newLinks returns the links of a proxy.
func newLinks(p *Proxy) *links {
	return &links{
		dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.upstream.dial(ctx, network, address)
		},
		workers:        func() map[string]*fleet.Worker { return p.opts.View().Workers() },
		suspectedHeads: p.opts.Tracker.suspectedHeads,
		onChange:       p.handleLinksChange,
		logger:         p.opts.Logger,
		services:       make(map[string]*serviceLinks),
	}
}

// handleLinksChange handles that the links to the workers of a service went down or up. Idle
// connections are closed, because they may hang.
func (p *Proxy) handleLinksChange(service string, isDown bool) {
	if isDown {
		p.upstream.closeService(service)
		p.opts.Logger.Warn("no worker is reached", "service", service)
	} else {
		p.opts.Tracker.clearSuspicions(service)
		p.opts.Logger.Info("workers are reached again", "service", service)
	}
	p.opts.OnLinksChanged()
}

// verify reports whether the links to the workers of a service are up, after a connection to the
// given worker failed. It waits for a check if there is no recent result. If ctx ends earlier, the
// links count as up.
func (l *links) verify(ctx context.Context, failed *fleet.Worker) bool {
	check := l.start(failed.Service, failed.ID, time.Now())
	select {
	case <-check.done:
		return check.isUp
	case <-ctx.Done():
		return !l.isDown(failed.Service)
	}
}

// afterCheck calls report once a check has shown that the links to a worker's service are up. If
// they are down, it does not call it.
func (l *links) afterCheck(failed *fleet.Worker, report func()) {
	check := l.start(failed.Service, failed.ID, time.Now())
	l.checks.Go(func() {
		if <-check.done; check.isUp {
			report()
		}
	})
}

// notify calls report when a check has ended.
func (l *links) notify(check *linkCheck, report func()) {
	l.checks.Go(func() {
		<-check.done
		report()
	})
}

// isDone reports whether the check has ended.
func (k *linkCheck) isDone() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

// isDown reports whether this daemon reaches no worker of a service.
func (l *links) isDown(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	return ok && s.isDown
}

// areAllDown reports whether this daemon reaches no worker of any service.
func (l *links) areAllDown() bool {
	down := l.downServices()
	if len(down) == 0 {
		return false
	}
	for service := range l.servicesWithWorkers() {
		if !slices.Contains(down, service) {
			return false
		}
	}
	return true
}

// downServices returns the services of which this daemon reaches no worker.
func (l *links) downServices() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var down []string
	for service, s := range l.services {
		if s.isDown {
			down = append(down, service)
		}
	}
	return down
}

func (l *links) servicesWithWorkers() map[string]bool {
	services := make(map[string]bool)
	for _, w := range l.workers() {
		services[w.Service] = true
	}
	return services
}

// sweep repeats the checks of services whose links are down. It forgets services whose links are up and
// whose last check is out of date, and those without workers.
func (l *links) sweep(now time.Time) {
	l.forgetUp(now)
	for _, service := range l.dueChecks(now) {
		l.start(service, "", now)
	}
}

// isAtRest reports whether no check runs or is to follow. The mutex of the links must be held.
func (s *serviceLinks) isAtRest() bool { return s.check.isOver() && s.next == nil }

func (l *links) forgetUp(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.services, func(_ string, s *serviceLinks) bool {
		return s.isAtRest() && !s.isDown && !now.Before(s.check.expiresAt)
	})
}

func (l *links) dueChecks(now time.Time) []string {
	if len(l.downServices()) == 0 {
		return nil
	}
	hasWorkers := l.servicesWithWorkers()
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []string
	for service, s := range l.services {
		switch {
		case !s.isAtRest():
		case !hasWorkers[service]:
			delete(l.services, service)
		case s.isDown && !now.Before(s.check.nextAt):
			due = append(due, service)
		}
	}
	return due
}

// start returns a check that tells whether a failure at the given time, now or earlier, is due to the
// links. If there is none, it starts one that leaves out the worker that failed, or lets it follow the
// one that runs.
func (l *links) start(service, failed string, failedAt time.Time) *linkCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	if !ok {
		s = &serviceLinks{}
		l.services[service] = s
	}
	switch previous := s.check; {
	case previous != nil && previous.judges(failedAt):
		return previous
	case s.next != nil:
		return s.next
	case previous == nil || previous.isOver() && !failedAt.Before(previous.startedAt.Add(minCheckInterval)):
		check := &linkCheck{done: make(chan struct{})}
		s.begin(check, failedAt)
		l.checks.Go(func() { l.run(service, failed, s, check) })
		return check
	}
	previous, check := s.check, &linkCheck{done: make(chan struct{})}
	s.next = check
	l.checks.Go(func() { l.runAfter(service, failed, s, previous, check) })
	return check
}

// judges reports whether the check tells about a failure at the given time. It must have begun after
// the failure, unless it found the links down, by which no worker is blamed. The mutex of the links must be
// held.
func (k *linkCheck) judges(failedAt time.Time) bool {
	return !k.startedAt.Before(failedAt) || k.isOver() && !k.isUp && failedAt.Before(k.expiresAt)
}

// isOver reports whether the check has a result. The mutex of the links must be held.
func (k *linkCheck) isOver() bool { return !k.expiresAt.IsZero() }

// begin makes a check the current one. The mutex of the links must be held.
func (s *serviceLinks) begin(check *linkCheck, now time.Time) {
	s.check, s.next, check.startedAt = check, nil, now
}

// runAfter performs a check after the previous one has ended, and not sooner than minCheckInterval after
// that began.
func (l *links) runAfter(service, failed string, s *serviceLinks, previous, check *linkCheck) {
	<-previous.done
	time.Sleep(time.Until(previous.startedAt.Add(minCheckInterval)))
	l.mu.Lock()
	s.begin(check, time.Now())
	l.mu.Unlock()
	l.run(service, failed, s, check)
}

// run performs a check and records its result. If the links went down, those to the other services
// are checked as well, because requests for them may be rare.
func (l *links) run(service, failed string, s *serviceLinks, check *linkCheck) {
	chosen := l.chooseWorkers(service, failed, time.Now())
	isUp := l.areUp(chosen, l.isDown(service))
	now := time.Now()
	l.mu.Lock()
	hasChanged := s.isDown == isUp
	s.isDown, check.isUp = !isUp, isUp
	check.expiresAt, check.nextAt = now.Add(linkCheckTTL), now.Add(linkCheckInterval)
	l.mu.Unlock()
	close(check.done)
	if !hasChanged {
		return
	}
	l.onChange(service, !isUp)
	if !isUp {
		l.checkOtherServices(service, now)
	}
}

// areUp connects to the chosen workers and returns whether the links to them are up. Links that were
// down are up again only if a share of the workers is reached.
func (l *links) areUp(chosen []*fleet.Worker, wasDown bool) bool {
	switch {
	case len(chosen) == 0:
		// Without other workers, nothing tells the daemon's links from the worker.
		return true
	case wasDown:
		minReached := max(int(minRestoredShare*float64(len(chosen))), 1)
		return l.reaches(chosen, minReached, linkCheckTimeout)
	}
	first := min(len(chosen), linkCheckFirst)
	return l.reaches(chosen[:first], 1, firstCheckTimeout) || l.reaches(chosen[first:], 1, linkCheckTimeout)
}

func (l *links) checkOtherServices(service string, now time.Time) {
	for other := range l.servicesWithWorkers() {
		if other != service {
			l.start(other, "", now)
		}
	}
}

// chooseWorkers returns random workers of a service for a check. It prefers workers that are not
// suspected, and leaves out the one that failed.
func (l *links) chooseWorkers(service, failed string, now time.Time) []*fleet.Worker {
	suspected := l.suspectedHeads(now)
	var candidates []*fleet.Worker
	for _, w := range l.workers() {
		if w.Service == service && w.ID != failed {
			candidates = append(candidates, w)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	rank := func(w *fleet.Worker) int {
		if suspected[w.ID] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(candidates, func(a, b *fleet.Worker) int { return cmp.Compare(rank(a), rank(b)) })
	return candidates[:min(len(candidates), linkCheckWorkers)]
}

// reaches reports whether at least minReached of the workers accept a connection within a time.
func (l *links) reaches(workers []*fleet.Worker, minReached int, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	results := make(chan error, len(workers))
	for _, w := range workers {
		l.checks.Go(func() { results <- l.connect(ctx, w) })
	}
	reached := 0
	for range workers {
		if err := <-results; err != nil {
			l.logger.Debug("link check failed", "error", err)
			continue
		}
		if reached++; reached >= minReached {
			return true
		}
	}
	return false
}

// connect opens and closes a connection to a worker.
func (l *links) connect(ctx context.Context, w *fleet.Worker) error {
	c, err := l.dial(ctx, "tcp", w.Address)
	if err != nil {
		return err
	}
	return c.Close()
}

// wait waits until all checks have ended.
func (l *links) wait() { l.checks.Wait() }
