package fleet

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/failure"
)

// Timing of a simulated fleet. Daemons behave like those of package serving.
const (
	simTick      = 20 * time.Millisecond
	simHeartbeat = 1200 * time.Millisecond
	// simLeaveBound is the time after which a worker that left must get no more requests.
	simLeaveBound = 2 * time.Second
	// simReturnTime is the maximum time that a live worker takes to write again after an outage.
	simReturnTime = 2 * time.Second
	// simContactTime is how long a daemon must have been served before it is bound by simLeaveBound.
	simContactTime = 3 * time.Second
	// simStaleAge and simReadSpread say at which age of its list a daemon reads the store itself.
	simStaleAge      = 1100 * time.Millisecond
	simReadSpread    = 470 * time.Millisecond
	simPeerHeartbeat = 200 * time.Millisecond
	// simMemberSpread is the minimum delay of members' retries in a fleet of 970 daemons.
	simMemberSpread = 4850 * time.Millisecond
	simDaemons      = 4
	simWorkers      = 6
)

// simWorker is a worker process that keeps its entry in a simulated store.
type simWorker struct {
	id       string
	isListed bool
	writesAt time.Time
	lapsesAt time.Time
	// leftAt is when the worker removed its entry; zero if it did not leave.
	leftAt time.Time
	// isStable is set if the store had been available for simContactTime when the worker left.
	isStable bool
	// expiredAt is when the entry expired in an outage; zero if it is not missing for that reason.
	expiredAt time.Time
	// heldAt holds the indexes of the daemons that knew the worker when the last outage began.
	heldAt map[int]bool
}

// simDaemon is a daemon that reads a simulated store or follows the others.
type simDaemon struct {
	inventory *Inventory
	readDelay time.Duration
	// servedSince is when the store began to serve this daemon; zero while it does not.
	servedSince  time.Time
	isTurnedAway bool
	// isMember is set for members of a large fleet. They hear from the others only.
	isMember   bool
	nextReadAt time.Time
	retry      retryBackoff
	// sent is when the read in flight was sent, zero if none is. It fails at failsAt unless that is
	// zero.
	sent, failsAt time.Time
	heartbeatAt   time.Time
	// fetchAt is when this daemon fetches from the peer with index fetchFrom; zero if never.
	fetchAt   time.Time
	fetchFrom int
}

// removalSimulation simulates workers, the store and daemons in virtual time.
type removalSimulation struct {
	random  *rand.Rand
	changes []Change
	workers []*simWorker
	daemons []*simDaemon
	leader  int
	isDown  bool
	// isSilent is set if calls that the store does not serve get no answer rather than an error.
	isSilent bool
	// downSince and upSince are when the last outage began and ended.
	downSince, upSince time.Time
	// hasOtherTrouble is set if something else happened since the last outage began, or if another
	// outage ended shortly before it. Daemons may then drop live workers.
	hasOtherTrouble bool
	// findBroken returns a description of a broken promise, or an empty string.
	findBroken func(s *removalSimulation, now time.Time) string
}

// newRemovalSimulation returns a simulation in which the last daemons are members.
func newRemovalSimulation(seed uint64, members int) *removalSimulation {
	s := &removalSimulation{random: rand.New(rand.NewPCG(seed, seed)), upSince: time.Now().Add(-time.Hour)}
	for range simWorkers {
		s.addWorker()
	}
	for n := range simDaemons {
		d := &simDaemon{
			inventory: NewInventory(InventoryOptions{Heartbeat: simHeartbeat, LeaveBound: simLeaveBound, SettleTime: simContactTime}), readDelay: ReadSpread * time.Duration(n) / (simDaemons - 1),
			heartbeatAt: time.Now().Add(s.between(0, simPeerHeartbeat)), isMember: n >= simDaemons-members, retry: retryBackoff{settleTime: simContactTime},
		}
		d.inventory.Replace(slices.Clone(s.changes), s.position(), time.Now())
		s.daemons = append(s.daemons, d)
	}
	return s
}

func (s *removalSimulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *removalSimulation) position() int64 { return int64(len(s.changes)) + 1 }

// addWorker starts a worker, which writes its entry at once.
func (s *removalSimulation) addWorker() {
	w := &simWorker{id: fmt.Sprintf("w%d", len(s.workers))}
	s.workers = append(s.workers, w)
	s.write(w, time.Now())
}

func (s *removalSimulation) write(w *simWorker, now time.Time) {
	if !w.isListed {
		s.changes = append(s.changes, Change{ID: w.id, Worker: &Worker{ID: w.id, Service: "s"}})
	}
	w.isListed, w.expiredAt = true, time.Time{}
	w.writesAt, w.lapsesAt = now.Add(simHeartbeat), now.Add(3*simHeartbeat)
}

// leave lets the first listed worker remove its entry, and starts another one in its place.
func (s *removalSimulation) leave(now time.Time) {
	n := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.isListed })
	if s.isDown || n < 0 {
		return
	}
	w := s.workers[n]
	w.isListed, w.leftAt, w.isStable = false, now, now.Sub(s.upSince) >= simContactTime
	s.changes = append(s.changes, Change{ID: w.id})
	s.addWorker()
}

// stepWorkers lets workers write and entries expire.
func (s *removalSimulation) stepWorkers(now time.Time) {
	for _, w := range s.workers {
		if !w.leftAt.IsZero() {
			continue
		}
		if !s.isDown && !now.Before(w.writesAt) {
			s.write(w, now)
		}
		if w.isListed && now.After(w.lapsesAt) {
			w.isListed = false
			if s.isDown {
				w.expiredAt = now
			}
			s.changes = append(s.changes, Change{ID: w.id})
		}
	}
}

// setDown begins or ends an outage of the store.
func (s *removalSimulation) setDown(isDown bool, now time.Time) {
	s.isDown = isDown
	if isDown {
		s.downSince, s.hasOtherTrouble = now, now.Sub(s.upSince) < 2*simReturnTime
		s.recordHeld()
		return
	}
	s.upSince = now
	for _, w := range s.workers {
		w.writesAt = now.Add(simReturnTime / 2 * time.Duration(s.random.IntN(3)))
	}
}

// recordHeld records which daemons know which workers.
func (s *removalSimulation) recordHeld() {
	for _, w := range s.workers {
		w.heldAt = make(map[int]bool)
		for n, d := range s.daemons {
			_, w.heldAt[n] = d.inventory.View().Worker(w.id)
		}
	}
}

// stepRead continues or starts a daemon's reads.
func (s *removalSimulation) stepRead(n int, now time.Time) {
	d := s.daemons[n]
	isServed := !s.isDown && !d.isTurnedAway
	d.updateServed(isServed, now)
	switch {
	case !d.sent.IsZero():
		s.continueRead(d, isServed, now)
	case now.Before(d.nextReadAt):
	case n != s.leader && now.Sub(d.inventory.Confirmed()) <= MaxStaleness(d.isMember, d.readDelay, simLeaveBound):
		d.nextReadAt = now.Add(idlePollInterval)
	default:
		d.sent, d.failsAt = now, time.Time{}
		d.inventory.BeginRead(now)
		if !isServed {
			s.setFailure(d, now)
		}
	}
}

// updateServed updates since when this daemon has been served.
func (d *simDaemon) updateServed(isServed bool, now time.Time) {
	if !isServed {
		d.servedSince = time.Time{}
	} else if d.servedSince.IsZero() {
		d.servedSince = now
	}
}

func (s *removalSimulation) setFailure(d *simDaemon, now time.Time) {
	d.failsAt = now.Add(simTick)
	if s.isSilent {
		d.failsAt = d.sent.Add(silentReadTime)
	}
}

func (d *simDaemon) retrySpread() time.Duration {
	if d.isMember {
		return simMemberSpread
	}
	return 0
}

// continueRead ends a read in flight if it failed, if there are changes, or after pollWait.
func (s *removalSimulation) continueRead(d *simDaemon, isServed bool, now time.Time) {
	if !isServed && d.failsAt.IsZero() {
		s.setFailure(d, now)
	}
	if !d.failsAt.IsZero() {
		if !now.Before(d.failsAt) {
			d.sent = time.Time{}
			d.inventory.EndRead(errUnavailable)
			least := d.retry.delay(d.retrySpread(), false)
			d.nextReadAt = now.Add(s.between(least, 2*least))
		}
		return
	}
	position := d.inventory.Position()
	if position == s.position() && now.Sub(d.sent) < pollWait {
		return
	}
	d.inventory.ApplyRead(Delta{From: position, To: s.position(), Changes: slices.Clone(s.changes[position-1:])}, d.sent)
	d.inventory.EndRead(nil)
	d.retry.reset()
	d.sent, d.nextReadAt = time.Time{}, now.Add(coalesceDelay)
}

// stepPeers delivers a daemon's heartbeat to the others, and lets it fetch what it lacks.
func (s *removalSimulation) stepPeers(n int, now time.Time) {
	d := s.daemons[n]
	if !d.fetchAt.IsZero() && !now.Before(d.fetchAt) {
		d.fetchAt = time.Time{}
		peer := s.daemons[d.fetchFrom].inventory
		if delta, whole := peer.Since(d.inventory.Position()); !whole {
			d.inventory.Follow(delta, peer.Confirmed())
		}
	}
	if now.Before(d.heartbeatAt) {
		return
	}
	d.heartbeatAt = now.Add(simPeerHeartbeat)
	for m, other := range s.daemons {
		if m == n || d.isMember && other.isMember {
			continue
		}
		other.inventory.Confirm(d.inventory.Position(), d.inventory.Confirmed())
		if d.inventory.Position() > other.inventory.Position() && other.fetchAt.IsZero() {
			other.fetchAt, other.fetchFrom = now.Add(150*time.Millisecond), n
		}
	}
}

// forwardNews sends the leader's changes to all others but members, which get them from these.
func (s *removalSimulation) forwardNews() {
	for n, d := range s.daemons {
		switch {
		case n == s.leader:
		case !d.isMember:
			d.followNews(s.daemons[s.leader])
		default:
			for _, relay := range s.daemons[:n] {
				d.followNews(relay)
			}
		}
	}
}

// followNews applies what another daemon forwards.
func (d *simDaemon) followNews(from *simDaemon) {
	if from.isMember {
		return
	}
	if delta, whole := from.inventory.Since(d.inventory.Position()); !whole && delta.To > delta.From {
		d.inventory.Follow(delta, from.inventory.Confirmed())
	}
}

// run lets the given time pass. It returns a description of the first broken promise, or an empty
// string.
func (s *removalSimulation) run(span time.Duration) string {
	for until := time.Now().Add(span); time.Now().Before(until); {
		time.Sleep(simTick)
		now := time.Now()
		s.stepWorkers(now)
		for n := range s.daemons {
			s.stepRead(n, now)
			s.stepPeers(n, now)
		}
		s.forwardNews()
		if broken := s.findBroken(s, now); broken != "" {
			return broken
		}
	}
	return ""
}

// findWorkerThatLeft returns a daemon that still sends requests to a worker later than simLeaveBound
// after the worker left, although the store serves the daemon.
func (s *removalSimulation) findWorkerThatLeft(now time.Time) string {
	for n, d := range s.daemons {
		if d.servedSince.IsZero() || now.Sub(d.servedSince) < simContactTime {
			continue
		}
		used := d.inventory.View().Replicas("s", "")
		for _, w := range s.workers {
			isUsed := slices.ContainsFunc(used, func(r *Replica) bool { return r.ID == w.id })
			if isUsed && w.isStable && now.Sub(w.leftAt) > simLeaveBound {
				return fmt.Sprintf("daemon %d sends to %s %s after it left", n, w.id, now.Sub(w.leftAt))
			}
		}
	}
	return ""
}

// findDroppedWorker returns a daemon that dropped a live worker whose entry expired in the last
// outage.
func (s *removalSimulation) findDroppedWorker(now time.Time) string {
	if s.hasOtherTrouble {
		return ""
	}
	for n, d := range s.daemons {
		for _, w := range s.workers {
			if _, isHeld := d.inventory.View().Worker(w.id); !isHeld && w.heldAt[n] && w.expiredAt.After(s.downSince) {
				return fmt.Sprintf("daemon %d dropped %s %s after the outage began", n, w.id, now.Sub(s.downSince))
			}
		}
	}
	return ""
}

// simStep is one event of a drawn schedule, and the time after which the next one follows.
type simStep struct {
	kind string
	span time.Duration
	// turnedAway has a bit set for each daemon that the store turns away.
	turnedAway int
	isSilent   bool
	leader     int
}

// drawStep draws a step of one of the given kinds. Often the store serves only the daemon that reads
// last.
func drawStep(t *rapid.T, kinds []string) simStep {
	const allButLast = 1<<(simDaemons-1) - 1
	return simStep{
		kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
		span:       time.Duration(rapid.SampledFrom([]int{0, 100, 300, 700, 1300, 2100, 3100, 4000}).Draw(t, "ms")) * time.Millisecond,
		turnedAway: rapid.OneOf(rapid.Just(allButLast), rapid.IntRange(0, 1<<simDaemons-1)).Draw(t, "turned away"),
		isSilent:   rapid.Bool().Draw(t, "silent"),
		leader:     rapid.IntRange(0, simDaemons-1).Draw(t, "leader"),
	}
}

// begin applies the event of a step.
func (s *removalSimulation) begin(step simStep) {
	now := time.Now()
	switch step.kind {
	case "leave":
		s.leave(now)
	case "new leader":
		s.hasOtherTrouble = true
		if !s.daemons[step.leader].isMember {
			s.leader = step.leader
		}
	case "turn away":
		s.isSilent, s.hasOtherTrouble = step.isSilent, true
		if s.isDown {
			s.setDown(false, now)
		}
		for n, d := range s.daemons {
			d.isTurnedAway = step.turnedAway&(1<<n) != 0
		}
	case "outage":
		s.isSilent = step.isSilent
		s.setDown(!s.isDown, now)
	}
}

// play lets the steps happen one after the other. It returns the first broken promise.
func (s *removalSimulation) play(steps []simStep) string {
	broken := s.run(simContactTime)
	for _, step := range steps {
		if broken != "" {
			return broken
		}
		s.begin(step)
		broken = s.run(step.span)
	}
	s.begin(simStep{kind: "turn away"})
	return cmp.Or(broken, s.run(2*simContactTime))
}

// checkSchedules plays drawn schedules of the given kinds of steps, in which findBroken must find
// nothing.
func checkSchedules(outer *testing.T, findBroken func(s *removalSimulation, now time.Time) string, kinds ...string) {
	rapid.Check(outer, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		members := rapid.IntRange(0, simDaemons/2).Draw(t, "members")
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) simStep { return drawStep(t, kinds) }), 1, 20).Draw(t, "steps")
		broken := ""
		synctest.Test(outer, func(*testing.T) {
			s := newRemovalSimulation(seed, members)
			s.findBroken = findBroken
			broken = s.play(steps)
		})
		assert.Equal(t, broken, "")
	})
}

// TestWorkersThatLeftGetNoRequests guards against daemons that take a leader which the store turns
// away for an outage, and send requests to workers that left.
func TestWorkersThatLeftGetNoRequests(t *testing.T) {
	checkSchedules(t, (*removalSimulation).findWorkerThatLeft, "leave", "leave", "leave", "turn away", "turn away", "outage", "new leader")
}

// TestLiveWorkersAreKeptAfterOutage guards against daemons that drop workers whose entries expired
// in an outage before the workers had time to write again.
func TestLiveWorkersAreKeptAfterOutage(t *testing.T) {
	checkSchedules(t, (*removalSimulation).findDroppedWorker, "outage", "outage", "outage", "outage", "leave", "turn away", "new leader")
}

// TestFailedReadsShowOutage checks that a worker whose entry disappeared is kept if reads of the
// follower failed before, and not if the source only limited their rate or there were none.
func TestFailedReadsShowOutage(t *testing.T) {
	tests := map[string]struct {
		err  error
		want int
	}{
		"reads fail":        {err: errUnavailable, want: 1},
		"reads are limited": {err: failure.New(failure.Limited, "read", "source", "too many reads")},
		"no reads":          {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assert.Equal(t, countHeldAfterRemoval(test.err), test.want) })
		})
	}
}

// countHeldAfterRemoval runs a follower whose reads fail for a while, or that does not read for as
// long if err is nil. It returns the number of workers held after the only entry disappeared.
func countHeldAfterRemoval(err error) int {
	const span = 5 * time.Second
	source, began := (&fakeSource{version: 3}).source(), time.Now()
	source.NextWorkers = func(_ context.Context, position int64, wait time.Duration) (WorkerUpdate, error) {
		time.Sleep(wait)
		if time.Since(began) < span {
			return WorkerUpdate{Next: position}, err
		}
		return WorkerUpdate{Changes: []Change{{ID: "w"}}, Next: position + 1}, nil
	}
	inventory := NewInventory(InventoryOptions{Heartbeat: time.Second, LeaveBound: simLeaveBound})
	f := NewFollower(FollowerOptions{
		Source: source, ConfigCache: NewConfigCache(), Inventory: inventory, Logger: hclog.NewNullLogger(),
		ShouldRead: func(time.Time) bool { return err != nil || inventory.Position() == 0 || time.Since(began) > span },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer func() { <-f.Done() }()
	defer cancel()
	go f.Run(ctx)
	time.Sleep(span + 2*maxRetryDelay + pollWait)
	return len(inventory.View().Workers())
}
