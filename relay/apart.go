package relay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"quartzshelf.dev/fleet"
)

// loadsUnknownFor is for how long after its start a daemon chooses between two replicas: it knows
// no loads until peers have reported (lines `start: loads of peers known`), and what waited
// meanwhile comes first.
const loadsUnknownFor = 2 * time.Second

// noteFailed notes what a failed attempt tells of a replica beyond the request. A worker
// that turned the request away, or a stream whose connection alone fell silent, tells
// nothing of others.
func (r *Relay) noteFailed(c *request, replica *fleet.Replica, err error) {
	if errors.Is(err, errTurnedAway) || errors.Is(err, errQuiet) {
		return
	}
	c.failed = append(c.failed, replica.Head)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused && !timedOutDialing(err) {
		return
	}
	if r.opts.Tracker.Unreached(replica, refused, time.Now()) {
		r.opts.Logger.Info("head takes no connections", "replica", replica.ID, "head", replica.Head.ID, "error", err)
	}
}

// timedOutDialing reports whether a head did not accept a connection in time.
func timedOutDialing(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// Unreached notes that a replica's head took no connection, and reports whether that is
// news. If it was refused nobody listens there; if it was not accepted in time that may be
// a lost packet, and counts only while no stream moves there. It gets no new requests for
// suspectFor, and peers are told; streams in flight may still end there if the head leaves
// as planned.
func (t *Tracker) Unreached(r *fleet.Replica, refused bool, now time.Time) bool {
	t.mu.Lock()
	s := t.loadOf(r)
	counts := refused || now.Sub(t.moveOf(s)) > goSilence
	news := counts && now.After(s.refusedUntil)
	if counts {
		s.refusedUntil = now.Add(suspectFor)
	}
	t.mu.Unlock()
	if news {
		t.stalled(r)
	}
	return news
}

// chooseFrom chooses a replica for the next attempt: at first among those that are least
// likely to share the failure of the attempts before, or, while little is known of loads,
// between two.
func (r *Relay) chooseFrom(c *request, replicas []*fleet.Replica, without map[string]bool, predicted costs, now time.Time) (Choice, bool) {
	choose := func(some []*fleet.Replica) (Choice, bool) {
		return r.opts.Tracker.Choose(some, without, predicted, c.prompt, now)
	}
	switch others := apart(replicas, c.failed); {
	case len(c.failed) > 0 && len(others) > 0:
		choice, ok := choose(others)
		if ok && choice.Busy < r.room(c, choice.Replica) {
			return choice, true
		}
	case now.Sub(r.startedAt) < loadsUnknownFor:
		if choice, ok := choose(r.twoOf(replicas)); ok {
			return choice, true
		}
	}
	return choose(replicas)
}

// twoOf returns two replicas at random. When all daemons start at once what waited comes
// before their first reports, and for a while all know the same few loads: each would
// choose the replicas that look idle, and then the last that seem to have room. Of two at
// random none gets more than twice its part; if both are full the others will be soon.
func (r *Relay) twoOf(replicas []*fleet.Replica) []*fleet.Replica {
	n := len(replicas)
	const few = 3
	if n < few {
		return replicas
	}
	i := int(r.random() * float64(n))
	j := (i + 1 + int(r.random()*float64(n-1))) % n
	return []*fleet.Replica{replicas[i], replicas[j]}
}

// apart returns the replicas that share neither data hall nor fabric domain with any of
// the heads that failed; if there are none, those that share no domain.
func apart(replicas []*fleet.Replica, failed []*fleet.Worker) []*fleet.Replica {
	var otherHall, otherDomain []*fleet.Replica
	for _, r := range replicas {
		hall, domain := true, true
		for _, f := range failed {
			hall = hall && r.Head.Zone != f.Zone
			domain = domain && (r.Head.Domain == "" || r.Head.Domain != f.Domain)
		}
		if domain {
			otherDomain = append(otherDomain, r)
		}
		if hall && domain {
			otherHall = append(otherHall, r)
		}
	}
	if len(otherHall) > 0 {
		return otherHall
	}
	return otherDomain
}

// doubted reports whether a replica is passed over: it fell silent or takes no
// connections, here or by a peer's word. The mutex is held.
func (t *Tracker) doubted(replica string, now time.Time) bool {
	if s, ok := t.held[replica]; ok {
		return now.Before(s.suspect) || now.Before(s.refusedUntil)
	}
	return now.Before(t.reportedSuspects[replica])
}
