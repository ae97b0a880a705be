package relay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"quartzshelf.dev/fleet"
)

// randomPairPeriod is for how long after its start a daemon chooses between two replicas: it knows
// no loads until peers have reported (lines `start: loads of peers known`), and what waited
// meanwhile comes first.
const randomPairPeriod = 2 * time.Second

// recordHeadFailure notes what a failed attempt tells of a replica beyond the request. A worker
// that turned the request away, or a stream whose connection alone fell silent, tells
// nothing of others.
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
		r.opts.Logger.Info("head takes no connections", "replica", replica.ID, "head", replica.Head.ID, "error", err)
	}
}

// isDialTimeout reports whether a head did not accept a connection in time.
func isDialTimeout(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// MarkUnreachable notes that a replica's head took no connection, and reports whether that is
// news. If it was refused nobody listens there; if it was not accepted in time that may be
// a lost packet, and counts only while no stream moves there. It gets no new requests for
// suspectFor, and peers are told; streams in flight may still end there if the head leaves
// as planned.
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

// chooseFrom chooses a replica for the next attempt: at first among those that are least
// likely to share the failure of the attempts before, or, while little is known of loads,
// between two.
func (r *Relay) chooseFrom(c *request, replicas []*fleet.Replica, exhausted map[string]bool, predicted costs, now time.Time) (Choice, bool) {
	choose := func(some []*fleet.Replica) (Choice, bool) {
		return r.opts.Tracker.Choose(some, exhausted, predicted, c.promptTokens, now)
	}
	switch others := independentReplicas(replicas, c.failedHeads); {
	case len(c.failedHeads) > 0 && len(others) > 0:
		choice, ok := choose(others)
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

// randomPair returns two replicas at random. When all daemons start at once what waited comes
// before their first reports, and for a while all know the same few loads: each would
// choose the replicas that look idle, and then the last that seem to have room. Of two at
// random none gets more than twice its part; if both are full the others will be soon.
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

// independentReplicas returns the replicas that share neither data hall nor fabric domain with any of
// the heads that failed; if there are none, those that share no domain.
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

// isSuspected reports whether a replica is passed over: it fell silent or takes no
// connections, here or by a peer's word. The mutex is held.
func (t *Tracker) isSuspected(replica string, now time.Time) bool {
	if s, ok := t.replicas[replica]; ok {
		return now.Before(s.suspectedUntil) || now.Before(s.unreachableUntil)
	}
	return now.Before(t.reportedSuspects[replica])
}
