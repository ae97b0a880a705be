package relay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"quartzshelf.dev/fleet"
)

// randomPairPeriod is how long after its start a daemon chooses between two random replicas,
// because peers have not reported their loads yet while waiting callers arrive in a burst.
const randomPairPeriod = 2 * time.Second

// recordHeadFailure records a failed attempt against the replica's head. A rejection, or a stream
// whose connection alone fell silent, does not count.
func (r *Relay) recordHeadFailure(c *request, replica *fleet.Replica, err error) {
	if errors.Is(err, errRejected) || errors.Is(err, errStreamSilent) {
		return
	}
	c.failedHeads = append(c.failedHeads, replica.Head)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused && !isDialTimeout(err) {
		return
	}
	if r.opts.Tracker.MarkUnreachable(replica, refused, time.Now()) {
		r.opts.Logger.Info("head accepts no connections", "replica", replica.ID, "head", replica.Head.ID, "error", err)
	}
}

// isDialTimeout reports whether a head did not accept a connection in time.
func isDialTimeout(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// MarkUnreachable records that a connection to a replica's head failed, and reports whether the
// replica was newly marked. A refused connection always counts; a timeout may be a lost packet,
// and counts only if no stream has recently received an event from the replica. It gets no new
// requests for suspicionPeriod, and peers are notified; its streams in flight may still complete.
func (t *Tracker) MarkUnreachable(r *fleet.Replica, refused bool, now time.Time) bool {
	t.mu.Lock()
	s := t.loadOf(r)
	isUnreachable := refused || now.Sub(t.lastEventOf(s)) > nextEventTimeout
	isNew := isUnreachable && now.After(s.unreachableUntil)
	if isUnreachable {
		s.unreachableUntil = now.Add(suspicionPeriod)
	}
	t.mu.Unlock()
	if isNew {
		t.onStalled(r)
	}
	return isNew
}

// chooseFrom chooses a replica for the next attempt. After a failure it prefers replicas that are
// unlikely to share it; after the daemon's start it chooses between a random pair.
func (r *Relay) chooseFrom(c *request, replicas []*fleet.Replica, exhausted map[string]bool, predicted costs, now time.Time) (Choice, bool) {
	choose := func(some []*fleet.Replica) (Choice, bool) {
		return r.opts.Tracker.Choose(some, exhausted, predicted, c.promptTokens, now)
	}
	switch independent := independentReplicas(replicas, c.failedHeads); {
	case len(c.failedHeads) > 0 && len(independent) > 0:
		choice, ok := choose(independent)
		if ok && choice.Busy < r.maxInFlight(c, choice.Replica) {
			return choice, true
		}
	case now.Sub(r.startedAt) < randomPairPeriod:
		if choice, ok := choose(r.randomPair(replicas)); ok {
			return choice, true
		}
	}
	return choose(replicas)
}

// randomPair returns two random replicas, or all if there are fewer than three. When all daemons
// start at once they know the same few loads, and would all choose the same replicas; choosing
// between two at random limits each replica to about twice its share.
func (r *Relay) randomPair(replicas []*fleet.Replica) []*fleet.Replica {
	n := len(replicas)
	const few = 3
	if n < few {
		return replicas
	}
	i := int(r.random() * float64(n))
	j := (i + 1 + int(r.random()*float64(n-1))) % n
	return []*fleet.Replica{replicas[i], replicas[j]}
}

// independentReplicas returns the replicas that share neither data hall nor fabric domain with
// any of the failed heads; if there are none, those that share no domain.
func independentReplicas(replicas []*fleet.Replica, failed []*fleet.Worker) []*fleet.Replica {
	var otherHall, otherDomain []*fleet.Replica
	for _, r := range replicas {
		isOtherHall, isOtherDomain := true, true
		for _, f := range failed {
			isOtherHall = isOtherHall && r.Head.Zone != f.Zone
			isOtherDomain = isOtherDomain && (r.Head.Domain == "" || r.Head.Domain != f.Domain)
		}
		if isOtherDomain {
			otherDomain = append(otherDomain, r)
		}
		if isOtherHall && isOtherDomain {
			otherHall = append(otherHall, r)
		}
	}
	if len(otherHall) > 0 {
		return otherHall
	}
	return otherDomain
}

// isSuspected reports whether a replica fell silent or is unreachable, according to this daemon
// or a peer. The caller must hold the mutex.
func (t *Tracker) isSuspected(replica string, now time.Time) bool {
	if s, ok := t.replicas[replica]; ok {
		return now.Before(s.suspectedUntil) || now.Before(s.unreachableUntil)
	}
	return now.Before(t.reportedSuspects[replica])
}
