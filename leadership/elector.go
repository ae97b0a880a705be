// Package leadership decides which daemon leads. A grant in the store names the
// holders of an epoch; while the store is away, they follow one another by
// their ranks. Two daemons may lead for a moment: fencing tokens keep that
// harmless, and the lower one yields as soon as it hears of the higher.
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
	tickEvery = 100 * time.Millisecond
	// registryTimeout bounds a call to the registry.
	registryTimeout = 600 * time.Millisecond
	// firstPatience is how long a daemon that has just started listens for
	// others before it takes part.
	firstPatience = 500 * time.Millisecond
	// turnPatience is how much longer each further candidate waits.
	turnPatience = 700 * time.Millisecond
	// retryPause is the pause after an attempt that did not win.
	retryPause = 300 * time.Millisecond
	// knownFor is how far back daemons count towards a majority.
	knownFor = 20 * time.Second
	// storeFresh is how recently the store must have answered to be reached.
	storeFresh = 4 * time.Second
	// deputies is how many holders a grant names after the first.
	deputies = 4
	maxRank  = 200
	// leastDeputies is how many of a grant's holders should be alive beside
	// the leader, and refreshEvery how often it looks.
	leastDeputies = 2
	refreshEvery  = 2 * time.Second
)

// Registry keeps grants. Each has an epoch that no other one shares.
type Registry struct {
	// Newest returns the newest grant and where the next one has to be added.
	Newest func(ctx context.Context) (Found, error)
	// Add adds a grant if the position still holds. Its epoch is above all that Found and
	// peers told.
	Add func(ctx context.Context, grant peers.Grant, position int64) (won bool, err error)
}

// Found is what a registry holds.
type Found struct {
	// Grant is the newest grant, the zero one before the first.
	Grant peers.Grant
	// Position is where the next one has to be added.
	Position int64
	// Given is an epoch below which grants may have been given that the registry has
	// forgotten, as one that comes back from a copy.
	Given int64
}

// Options configures an Elector.
type Options struct {
	Self     peers.Identity
	Registry Registry
	// Alive returns the daemons that are alive, this one left out.
	Alive func(now time.Time) []*peers.Peer
	// Known returns how many others were alive since a time.
	Known func(since time.Time) int
	// Patience is how long a daemon counts as alive after it was heard.
	Patience func() time.Duration
	// Settled reports whether what was heard is up to date.
	Settled func(now time.Time) bool
	// Fit reports whether this daemon knows enough to lead, and stays.
	Fit func() bool
	// Era returns the newest era that the registry told; nil for a registry that forgets
	// nothing. A term ends with the era in which it began: its grant may be forgotten.
	Era func() int64
	// StoreSeen returns when the store last answered this daemon.
	StoreSeen func() time.Time
	// Suspended returns for how long the machine was suspended in all; nil for one that never
	// is.
	Suspended func() time.Duration
	// Lead is called with each term won and runs it until its context ends.
	Lead   func(ctx context.Context, claim peers.Claim, first bool)
	Logger hclog.Logger
}

// Elector takes part in leadership.
type Elector struct {
	opts  Options
	start time.Time
	done  chan struct{}

	mu      sync.Mutex
	grant   peers.Grant
	highest peers.Claim
	own     *peers.Claim
	// ownEra is the registry's era in which the own term began.
	ownEra int64
	// stop ends the own term.
	stop func()
	// leaderlessSince is since when no leader was heard; zero while one is.
	leaderlessSince time.Time
	// refreshNext is when the leader looks again for deputies.
	refreshNext time.Time
	// pauseUntil is until when no attempt is made.
	pauseUntil time.Time
}

// NewElector returns an elector; Run makes it work.
func NewElector(opts Options) *Elector {
	if opts.Suspended == nil {
		opts.Suspended = awake.Never
	}
	return &Elector{opts: opts, start: time.Now(), done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// State returns what peers are to be told: the own claim, if any, the highest
// known, and the newest grant known.
func (e *Elector) State() (own *peers.Claim, highest peers.Claim, grant peers.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own, e.highest, e.grant
}

// Hear takes what a peer told of leadership.
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
		e.yield("a higher claim was heard")
	}
}

// Yield ends the own term, if there is one.
func (e *Elector) Yield(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yield(why)
}

func (e *Elector) yield(why string) {
	if e.own == nil {
		return
	}
	e.opts.Logger.Warn("leadership given up", "epoch", e.own.Epoch, "rank", e.own.Rank, "reason", why)
	e.stop()
	e.own, e.stop = nil, nil
	e.pauseUntil = time.Now().Add(turnPatience)
}

// Run takes part until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.Yield("the daemon stops")
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

// tick reports whether it is this daemon's turn to try for leadership.
func (e *Elector) tick(now time.Time) bool {
	alive := e.opts.Alive(now)
	fit := e.opts.Fit()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.own != nil {
		switch {
		case !fit:
			e.yield("the daemon leaves or knows too little")
		case e.era() != e.ownEra:
			e.yield("the store came back from a copy")
		case e.isolated(alive, now):
			e.yield("neither the store nor most daemons are reached")
		}
		return false
	}
	if !fit || !e.opts.Settled(now) || now.Sub(e.start) < firstPatience || now.Before(e.pauseUntil) {
		e.leaderlessSince = time.Time{}
		return false
	}
	if led(alive) || e.heardByOthers(alive, now) {
		e.leaderlessSince = time.Time{}
		return false
	}
	if e.leaderlessSince.IsZero() {
		e.leaderlessSince = now
	}
	turn := e.turn(alive)
	return now.Sub(e.leaderlessSince) >= time.Duration(turn)*turnPatience && !e.isolated(alive, now)
}

// era returns the newest era that the registry told.
func (e *Elector) era() int64 {
	if e.opts.Era == nil {
		return 0
	}
	return e.opts.Era()
}

// isolated reports whether neither the store nor most daemons are reached.
func (e *Elector) isolated(alive []*peers.Peer, now time.Time) bool {
	known := e.opts.Known(now.Add(-knownFor)) + 1
	return 2*(len(alive)+1) <= known && now.Sub(e.opts.StoreSeen()) > storeFresh
}

// led reports whether a daemon that stays leads.
func led(alive []*peers.Peer) bool {
	return slices.ContainsFunc(alive, func(p *peers.Peer) bool { return p.Leads != nil && !p.Leaving })
}

// heardByOthers reports whether some daemon has heard a leader of late, though
// this one has not.
func (e *Elector) heardByOthers(alive []*peers.Peer, now time.Time) bool {
	patience := e.opts.Patience()
	return slices.ContainsFunc(alive, func(p *peers.Peer) bool {
		age := time.Duration(p.LeaderAge) * time.Millisecond
		return p.LeaderAge > 0 && age+now.Sub(p.HeardAt) < patience
	})
}

// turn returns how many daemons are to try before this one. Daemons that do not know all
// workers count only where no other one does, and in a fleet that nobody led yet
// as far as is known: the fittest then waits for its first list too, and one that
// has it sooner would lead for a moment only. Members of a large fleet serve without it and
// are passed over.
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
	e.order(candidates)
	return slices.Index(candidates, e.opts.Self)
}

// order puts the holders of the grant first, in their order, then the others, the
// fittest first.
func (e *Elector) order(candidates []peers.Identity) {
	place := func(c peers.Identity) int {
		if i := slices.Index(e.grant.Holders, holderOf(c)); i >= 0 {
			return i
		}
		return len(e.grant.Holders)
	}
	slices.SortFunc(candidates, func(a, b peers.Identity) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), peers.CompareFitness(a, b))
	})
}

// holderOf returns the life of a daemon as grants name it.
func holderOf(id peers.Identity) peers.Holder {
	return peers.Holder{ID: id.ID, Incarnation: id.Incarnation}
}

// attempt tries to win a term: by a new grant, or by rank when the store
// cannot be reached.
func (e *Elector) attempt(ctx context.Context) {
	// What the store told until now is what the term rests on.
	era, asked := e.era(), awake.NewStamp(e.opts.Suspended)
	claim, first, won := e.takeGrant(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	// Others may have led since the store answered a daemon that was suspended.
	if !won || asked.Interrupted() || e.highest.Higher(claim) || ctx.Err() != nil {
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

// takeGrant returns the claim that this daemon may make.
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
		// An earlier addition was made though its answer was lost.
		return peers.Claim{Epoch: newest.Epoch}, false, true
	}
	won, err = e.opts.Registry.Add(ctx, grant, found.Position)
	if err != nil {
		e.opts.Logger.Warn("grant not added", "error", err)
		return peers.Claim{}, false, false
	}
	if won {
		e.mu.Lock()
		e.grant = grant
		e.mu.Unlock()
	}
	return peers.Claim{Epoch: grant.Epoch}, first, won
}

// nextGrant returns the grant to add after what the registry holds. Its epoch is above every
// epoch that the registry, peers or this daemon ever showed, whatever the registry forgot:
// two leaders of one epoch would give orders with the same fences. The mutex is held.
func (e *Elector) nextGrant(found Found) peers.Grant {
	given := max(found.Given, found.Grant.Epoch, e.grant.Epoch, e.highest.Epoch)
	return peers.Grant{Epoch: given + 1, Holders: e.holders()}
}

// lacksDeputies reports whether this daemon leads by a grant that names too few
// daemons that live, though there are others.
func (e *Elector) lacksDeputies(now time.Time) bool {
	alive := e.opts.Alive(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.own == nil || now.Before(e.refreshNext) {
		return false
	}
	e.refreshNext = now.Add(refreshEvery)
	able, named := 0, 0
	for _, p := range alive {
		if p.Leaving {
			continue
		}
		able++
		if slices.Contains(e.grant.Holders, holderOf(p.Identity)) {
			named++
		}
	}
	return named < min(leastDeputies, able)
}

// refresh adds a grant that names living deputies. The own claim goes on: every
// claim under the new grant outdoes it.
func (e *Elector) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	found, err := e.opts.Registry.Newest(ctx)
	if err != nil {
		return
	}
	newest := found.Grant
	e.mu.Lock()
	outdone := newest.Epoch > e.grant.Epoch
	if outdone {
		e.grant = newest
	}
	grant := e.nextGrant(found)
	e.mu.Unlock()
	if outdone && (len(newest.Holders) == 0 || newest.Holders[0] != e.self()) {
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

// completeFirst puts daemons that know all workers before those that would have to learn of
// them first.
func completeFirst(p *peers.Peer) int {
	if p.Complete {
		return 0
	}
	return 1
}

// holders returns the holders that a new grant names: this daemon, then the
// fittest of the others that are alive and stay, those that know all workers first.
func (e *Elector) holders() []peers.Holder {
	others := slices.DeleteFunc(e.opts.Alive(time.Now()), func(p *peers.Peer) bool { return p.Leaving })
	slices.SortFunc(others, func(a, b *peers.Peer) int {
		return cmp.Or(cmp.Compare(completeFirst(a), completeFirst(b)), peers.CompareFitness(a.Identity, b.Identity))
	})
	holders := []peers.Holder{e.self()}
	for _, p := range others[:min(len(others), deputies)] {
		holders = append(holders, holderOf(p.Identity))
	}
	return holders
}

// self returns this life of this daemon.
func (e *Elector) self() peers.Holder { return holderOf(e.opts.Self) }

// nextRank returns the next claim under the known grant that is this daemon's
// to make. Holders take turns, so ranks are never used twice.
func (e *Elector) nextRank() (peers.Claim, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mine := slices.Index(e.grant.Holders, e.self())
	if mine < 0 || e.highest.Epoch > e.grant.Epoch {
		return peers.Claim{}, false
	}
	rank := mine
	for e.highest.Epoch == e.grant.Epoch && rank <= e.highest.Rank {
		rank += len(e.grant.Holders)
	}
	return peers.Claim{Epoch: e.grant.Epoch, Rank: rank}, rank <= maxRank
}
