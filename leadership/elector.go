// Package leadership elects the daemon that leads the fleet. A grant in the store names the
// holders of an epoch; while the store is unavailable, they succeed one another by rank. Two
// daemons may lead for a moment: fencing tokens make that harmless, and the one with the lower
// claim yields as soon as it learns of the higher one.
package leadership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/common/awake"
	"quartzshelf.dev/peers"
)

// Timing of an elector.
const (
	tickInterval = 100 * time.Millisecond
	// registryTimeout limits a call to the registry.
	registryTimeout = 600 * time.Millisecond
	// startupDelay is how long a daemon listens to others after its start before it takes part.
	startupDelay = 500 * time.Millisecond
	// candidateDelay is the additional delay of each candidate behind the first. It is also the
	// pause of a daemon that yielded.
	candidateDelay = 700 * time.Millisecond
	// retryPause is the pause after a failed attempt.
	retryPause = 300 * time.Millisecond
	// majorityWindow is how recently a daemon must have been alive to count towards a majority.
	majorityWindow = 20 * time.Second
	// storeTimeout is how long after its last answer the store counts as reachable.
	storeTimeout = 4 * time.Second
	// maxDeputies is the maximum number of holders in a grant besides the leader.
	maxDeputies = 4
	maxRank     = 200
	// minAliveDeputies is how many holders of a grant should be alive besides the leader. The
	// leader checks it every refreshInterval.
	minAliveDeputies = 2
	refreshInterval  = 2 * time.Second
)

// Registry stores grants, each with a unique epoch.
type Registry struct {
	// Newest returns the newest grant and the position at which the next one has to be added.
	Newest func(ctx context.Context) (Found, error)
	// Add adds a grant if the position is still current. Its epoch must be above all epochs known
	// from Found and from peers.
	Add func(ctx context.Context, grant peers.Grant, position int64) (won bool, err error)
}

// Found is the content of a registry.
type Found struct {
	// Grant is the newest grant, the zero value before the first.
	Grant peers.Grant
	// Position is where the next grant has to be added.
	Position int64
	// Given is an upper bound of the epochs that may have been granted, including grants that a
	// registry restored from a backup has lost.
	Given int64
}

// Options configures an Elector.
type Options struct {
	Self     peers.Identity
	Registry Registry
	// Alive returns the daemons that are alive, without this one.
	Alive func(now time.Time) []*peers.Peer
	// Known returns the number of other daemons that were alive since a time.
	Known func(since time.Time) int
	// Patience returns how long a daemon counts as alive after its last heartbeat.
	Patience func() time.Duration
	// Settled reports whether the information from peers is up to date.
	Settled func(now time.Time) bool
	// Fit reports whether this daemon knows enough to lead and is not stopping.
	Fit func() bool
	// Era returns the newest era reported by the registry; nil for a registry that never loses
	// data. A term ends with the era in which it began, as its grant may be lost.
	Era func() int64
	// StoreSeen returns when the store last answered this daemon.
	StoreSeen func() time.Time
	// Suspended returns the total time for which the machine was suspended; nil if it never is.
	Suspended func() time.Duration
	// Lead is called for each term that this daemon wins and runs it until the context ends.
	Lead   func(ctx context.Context, claim peers.Claim, first bool)
	Logger hclog.Logger
}

// Elector takes part in the election of a leader. It is safe for concurrent use.
type Elector struct {
	opts  Options
	start time.Time
	done  chan struct{}

	mu      sync.Mutex
	grant   peers.Grant
	highest peers.Claim
	own     *peers.Claim
	// ownEra is the registry's era in which the current term began.
	ownEra int64
	// stop ends the current term.
	stop func()
	// leaderlessSince is when the last leader disappeared; zero while there is one.
	leaderlessSince time.Time
	// nextRefresh is when the leader checks its deputies again.
	nextRefresh time.Time
	// pauseUntil is when the next attempt may be made.
	pauseUntil time.Time
}

// NewElector returns an elector, which is started by Run.
func NewElector(opts Options) *Elector {
	if opts.Suspended == nil {
		opts.Suspended = awake.Never
	}
	return &Elector{opts: opts, start: time.Now(), done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// State returns what is sent to peers: this daemon's claim, if it leads, the highest known claim,
// and the newest known grant.
func (e *Elector) State() (own *peers.Claim, highest peers.Claim, grant peers.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own, e.highest, e.grant
}

// Hear applies what a peer reported about leadership.
func (e *Elector) Hear(p *peers.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Grant.Epoch > e.grant.Epoch {
		e.grant = p.Grant
	}
	for _, c := range []*peers.Claim{&p.Highest, p.Leads} {
		if c != nil && c.Higher(e.highest) {
			e.highest = *c
		}
	}
	if e.own != nil && e.highest.Higher(*e.own) {
		e.yield("another daemon has a higher claim")
	}
}

// Yield ends this daemon's term, if there is one.
func (e *Elector) Yield(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yield(why)
}

func (e *Elector) yield(why string) {
	if e.own == nil {
		return
	}
	e.opts.Logger.Warn("leadership ended", "epoch", e.own.Epoch, "rank", e.own.Rank, "reason", why)
	e.stop()
	e.own, e.stop = nil, nil
	e.pauseUntil = time.Now().Add(candidateDelay)
}

// Run takes part in elections until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.Yield("the daemon is stopping")
			return
		case <-ticker.C:
			if e.tick(time.Now()) {
				e.attempt(ctx)
			}
			if e.lacksDeputies(time.Now()) {
				e.refresh(ctx)
			}
		}
	}
}

// tick ends the current term if necessary, and otherwise reports whether it is this daemon's turn
// to try to lead.
func (e *Elector) tick(now time.Time) bool {
	alive := e.opts.Alive(now)
	fit := e.opts.Fit()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.own != nil {
		switch {
		case !fit:
			e.yield("the daemon is leaving or lacks data")
		case e.era() != e.ownEra:
			e.yield("the store was restored from a backup")
		case e.isIsolated(alive, now):
			e.yield("neither the store nor a majority of daemons is reachable")
		}
		return false
	}
	if !fit || !e.opts.Settled(now) || now.Sub(e.start) < startupDelay || now.Before(e.pauseUntil) {
		e.leaderlessSince = time.Time{}
		return false
	}
	if hasLeader(alive) || e.leaderSeenByOthers(alive, now) {
		e.leaderlessSince = time.Time{}
		return false
	}
	if e.leaderlessSince.IsZero() {
		e.leaderlessSince = now
	}
	turn := e.turn(alive)
	return now.Sub(e.leaderlessSince) >= time.Duration(turn)*candidateDelay && !e.isIsolated(alive, now)
}

// era returns the newest era reported by the registry.
func (e *Elector) era() int64 {
	if e.opts.Era == nil {
		return 0
	}
	return e.opts.Era()
}

// isIsolated reports whether neither the store nor a majority of the daemons is reachable.
func (e *Elector) isIsolated(alive []*peers.Peer, now time.Time) bool {
	known := e.opts.Known(now.Add(-majorityWindow)) + 1
	return 2*(len(alive)+1) <= known && now.Sub(e.opts.StoreSeen()) > storeTimeout
}

// hasLeader reports whether one of the daemons leads and is not stopping.
func hasLeader(alive []*peers.Peer) bool {
	return slices.ContainsFunc(alive, func(p *peers.Peer) bool { return p.Leads != nil && !p.Leaving })
}

// leaderSeenByOthers reports whether another daemon recently heard from a leader, although this
// one has not.
func (e *Elector) leaderSeenByOthers(alive []*peers.Peer, now time.Time) bool {
	patience := e.opts.Patience()
	return slices.ContainsFunc(alive, func(p *peers.Peer) bool {
		age := time.Duration(p.LeaderAge) * time.Millisecond
		return p.LeaderAge > 0 && age+now.Sub(p.HeardAt) < patience
	})
}

// turn returns the number of daemons that should try before this one. Daemons that do not know all
// workers count only if no other candidate exists, or while no leader is known to have existed:
// the fittest daemon may then still wait for its first list of workers, and one that got it sooner
// would be replaced at once. Members of a large fleet that serve without the full list are left
// out.
func (e *Elector) turn(alive []*peers.Peer) int {
	candidates, unready := []peers.Identity{e.opts.Self}, []peers.Identity{}
	for _, p := range alive {
		switch {
		case p.Leaving:
		case p.Ready && p.Complete || e.grant.Epoch == 0 && !p.Ready:
			candidates = append(candidates, p.Identity)
		default:
			unready = append(unready, p.Identity)
		}
	}
	if len(candidates) == 1 {
		candidates = append(candidates, unready...)
	}
	e.sortCandidates(candidates)
	return slices.Index(candidates, e.opts.Self)
}

// sortCandidates sorts the holders of the grant first, in their order, then the others by fitness.
func (e *Elector) sortCandidates(candidates []peers.Identity) {
	position := func(c peers.Identity) int {
		if i := slices.Index(e.grant.Holders, holderOf(c)); i >= 0 {
			return i
		}
		return len(e.grant.Holders)
	}
	slices.SortFunc(candidates, func(a, b peers.Identity) int {
		return cmp.Or(cmp.Compare(position(a), position(b)), peers.CompareFitness(a, b))
	})
}

// holderOf returns a daemon's incarnation in the form used by grants.
func holderOf(id peers.Identity) peers.Holder {
	return peers.Holder{ID: id.ID, Incarnation: id.Incarnation}
}

// attempt tries to win a term: by a new grant, or by rank if the store is unavailable.
func (e *Elector) attempt(ctx context.Context) {
	// Read the era before the grant, so that a later restore of the store ends the term.
	era, stamp := e.era(), awake.NewStamp(e.opts.Suspended)
	claim, first, won := e.takeGrant(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	// If this daemon was suspended in between, others may have led meanwhile.
	if !won || stamp.Interrupted() || e.highest.Higher(claim) || ctx.Err() != nil {
		e.pauseUntil = time.Now().Add(retryPause)
		return
	}
	e.highest = claim
	e.own, e.ownEra = &claim, era
	term, stop := context.WithCancel(ctx)
	e.stop = stop
	e.leaderlessSince = time.Time{}
	e.opts.Logger.Info("leading", "epoch", claim.Epoch, "rank", claim.Rank, "first", first)
	go e.opts.Lead(term, claim, first)
}

// takeGrant returns the claim that this daemon may make, whether it belongs to the first grant
// ever, and whether it may be made.
func (e *Elector) takeGrant(ctx context.Context) (claim peers.Claim, first, won bool) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	found, err := e.opts.Registry.Newest(ctx)
	if err != nil {
		claim, won = e.nextRank()
		return claim, false, won
	}
	newest := found.Grant
	e.mu.Lock()
	if newest.Epoch > e.grant.Epoch {
		e.grant = newest
	}
	grant := e.nextGrant(found)
	first = grant.Epoch == 1
	unused := len(newest.Holders) > 0 && newest.Holders[0] == e.self() && e.highest.Epoch < newest.Epoch
	e.mu.Unlock()
	if unused {
		// An earlier call added the grant, but its answer was lost.
		return peers.Claim{Epoch: newest.Epoch}, false, true
	}
	won, err = e.opts.Registry.Add(ctx, grant, found.Position)
	if err != nil {
		e.opts.Logger.Warn("failed to add grant", "error", err)
		return peers.Claim{}, false, false
	}
	if won {
		e.mu.Lock()
		e.grant = grant
		e.mu.Unlock()
	}
	return peers.Claim{Epoch: grant.Epoch}, first, won
}

// nextGrant returns the grant to add next. Its epoch is above every epoch known to the registry,
// peers or this daemon, as two leaders of one epoch would issue orders with equal fencing tokens.
// The caller must hold e.mu.
func (e *Elector) nextGrant(found Found) peers.Grant {
	given := max(found.Given, found.Grant.Epoch, e.grant.Epoch, e.highest.Epoch)
	return peers.Grant{Epoch: given + 1, Holders: e.holders()}
}

// lacksDeputies reports whether this daemon leads by a grant with too few holders that are alive,
// although other daemons are available.
func (e *Elector) lacksDeputies(now time.Time) bool {
	alive := e.opts.Alive(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.own == nil || now.Before(e.nextRefresh) {
		return false
	}
	e.nextRefresh = now.Add(refreshInterval)
	available, named := 0, 0
	for _, p := range alive {
		if p.Leaving {
			continue
		}
		available++
		if slices.Contains(e.grant.Holders, holderOf(p.Identity)) {
			named++
		}
	}
	return named < min(minAliveDeputies, available)
}

// refresh adds a grant with deputies that are alive. The current claim stays in force until
// another daemon makes one under the new grant, which is higher.
func (e *Elector) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	found, err := e.opts.Registry.Newest(ctx)
	if err != nil {
		return
	}
	newest := found.Grant
	e.mu.Lock()
	superseded := newest.Epoch > e.grant.Epoch
	if superseded {
		e.grant = newest
	}
	grant := e.nextGrant(found)
	e.mu.Unlock()
	if superseded && (len(newest.Holders) == 0 || newest.Holders[0] != e.self()) {
		e.Yield("another daemon holds a newer grant")
		return
	}
	won, err := e.opts.Registry.Add(ctx, grant, found.Position)
	if err != nil || !won {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grant = grant
}

// completenessRank sorts daemons that know all workers before the others.
func completenessRank(p *peers.Peer) int {
	if p.Complete {
		return 0
	}
	return 1
}

// holders returns the holders of a new grant: this daemon, then the fittest of the others that are
// alive and not stopping, those that know all workers first.
func (e *Elector) holders() []peers.Holder {
	others := slices.DeleteFunc(e.opts.Alive(time.Now()), func(p *peers.Peer) bool { return p.Leaving })
	slices.SortFunc(others, func(a, b *peers.Peer) int {
		return cmp.Or(cmp.Compare(completenessRank(a), completenessRank(b)), peers.CompareFitness(a.Identity, b.Identity))
	})
	holders := []peers.Holder{e.self()}
	for _, p := range others[:min(len(others), maxDeputies)] {
		holders = append(holders, holderOf(p.Identity))
	}
	return holders
}

// self returns this daemon's incarnation in the form used by grants.
func (e *Elector) self() peers.Holder { return holderOf(e.opts.Self) }

// nextRank returns the next claim that this daemon may make under the known grant, and false if it
// may not. Ranks are assigned to the holders in rotation, so each is used once.
func (e *Elector) nextRank() (peers.Claim, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	position := slices.Index(e.grant.Holders, e.self())
	if position < 0 || e.highest.Epoch > e.grant.Epoch {
		return peers.Claim{}, false
	}
	rank := position
	for e.highest.Epoch == e.grant.Epoch && rank <= e.highest.Rank {
		rank += len(e.grant.Holders)
	}
	return peers.Claim{Epoch: e.grant.Epoch, Rank: rank}, rank <= maxRank
}
