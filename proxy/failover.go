package proxy

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine/guard"
)

// randomPairPeriod is how long after its start a daemon chooses between two random replicas. In
// that time peers have not reported their loads yet, while waiting callers may arrive in a burst.
const randomPairPeriod = 2 * time.Second

// recordHeadFailure records that an attempt failed at the replica's head. It marks the replica as
// unreachable if no connection could be opened. Rejections and the silence of a single stream do
// not count.
func (p *Proxy) recordHeadFailure(c *request, replica *fleet.Replica, err error) {
	if !c.recordFailedHead(replica, err) {
		return
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused && !isDialTimeout(err) {
		return
	}
	if p.opts.Tracker.MarkUnreachable(replica, refused, time.Now()) {
		p.opts.Logger.Info("head accepts no connections", "replica", replica.ID, "head", replica.Head.ID, "error", err)
	}
}

// recordFailedHead adds a replica's head to failedHeads. It returns false if the error is a rejection or the
// silence of a single stream.
func (c *request) recordFailedHead(replica *fleet.Replica, err error) bool {
	if errors.Is(err, errRejected) || errors.Is(err, errStreamSilent) {
		return false
	}
	if !slices.Contains(c.failedHeads, replica.Head) {
		c.failedHeads = append(c.failedHeads, replica.Head)
	}
	return true
}

// mayBeOwnLinks reports whether an attempt may have failed because of this daemon's own links.
func mayBeOwnLinks(err error) bool {
	return guard.IsConnectionBroken(err) || isDialTimeout(err) || errors.Is(err, errReplicaSilent)
}

// isDialTimeout reports whether an attempt to open a connection timed out.
func isDialTimeout(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// connectFailureCause returns the cause of a failed attempt to open a connection, for metrics.
func connectFailureCause(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case isDialTimeout(err):
		return "timed_out"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "canceled"
	}
	return "other"
}

// MarkUnreachable marks a replica as suspected because no connection to its head could be opened. A
// refused connection always counts. A timeout may be due to a lost packet, and counts only if no
// stream has recently received an event from the replica. Streams in flight may still complete.
// MarkUnreachable reports whether the replica was not marked before. Only then peers are notified.
func (t *Tracker) MarkUnreachable(r *fleet.Replica, isRefused bool, now time.Time) bool {
	t.mu.Lock()
	s := t.loadOf(r)
	isUnreachable := isRefused || now.Sub(t.lastEventOf(s)) > nextEventTimeout
	isNew := isUnreachable && now.After(s.unreachableUntil)
	if isUnreachable {
		s.unreachableUntil = now.Add(suspicionPeriod)
	}
	t.mu.Unlock()
	if isNew {
		t.onSuspected(r)
	}
	return isNew
}

// chooseFrom chooses a replica for the next attempt. After a failed attempt it prefers replicas
// that are unlikely to fail for the same reason. Shortly after the daemon's start it chooses
// between two random replicas.
func (p *Proxy) chooseFrom(c *request, replicas []*fleet.Replica, exhausted map[string]bool, predicted costs, now time.Time) (Choice, bool) {
	choose := func(candidates []*fleet.Replica) (Choice, bool) {
		return p.opts.Tracker.Choose(candidates, exhausted, predicted, c.promptTokens, now)
	}
	switch independent := independentReplicas(replicas, c.failedHeads); {
	case len(c.failedHeads) > 0 && len(independent) > 0:
		choice, ok := choose(independent)
		if ok && choice.InFlight < p.maxInFlight(c, choice.Replica) {
			return choice, true
		}
	case now.Sub(p.startedAt) < randomPairPeriod:
		if choice, ok := choose(p.randomPair(replicas)); ok {
			return choice, true
		}
	}
	return choose(replicas)
}

// randomPair returns two random replicas, or all if there are fewer than three. When all daemons
// start at once, they know few loads and would all choose the same replicas. Choosing between two
// random ones limits each replica to about twice its share of the requests.
func (p *Proxy) randomPair(replicas []*fleet.Replica) []*fleet.Replica {
	n := len(replicas)
	const minForPair = 3
	if n < minForPair {
		return replicas
	}
	i := int(p.random() * float64(n))
	j := (i + 1 + int(p.random()*float64(n-1))) % n
	return []*fleet.Replica{replicas[i], replicas[j]}
}

// independentReplicas returns the replicas that share neither data hall nor fabric domain with any
// of the failed heads. If there are none, it returns those that share no fabric domain.
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
