package serving

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// newsPause joins what becomes known close upon one another: what comes within
	// it waits and goes together.
	newsPause = 40 * time.Millisecond
	// changesPerNews and decisionsPerNews are how many changes of the worker list
	// and decisions go into one datagram, so that it fits one frame of the network:
	// deflated, a change takes about 70 bytes and a decision about 60.
	changesPerNews   = 14
	decisionsPerNews = 16
)

// passNews passes on what becomes known, once, while this daemon leads or relays.
// Who misses some of it sees so by the positions in heartbeats and asks for it.
func (s *Server) passNews(ctx context.Context) {
	var passed newsPosition
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.beliefs.Changed():
			// Peers fetch the configuration when they hear of its version.
			if s.passesOn() {
				s.agent.SendHeartbeat(time.Now())
			}
			continue
		case <-s.inventory.News():
		}
		if s.passesOn() {
			var n news
			n, passed = s.newsSince(passed)
			s.agent.SendNews(n.all, n.members, s.isReader(), time.Now())
		} else {
			passed = newsPosition{workers: s.inventory.Position(), decided: s.inventory.Decided()}
		}
		pause.For(ctx, newsPause)
	}
}

// passesOn reports whether this daemon passes on what it learns.
func (s *Server) passesOn() bool { return s.isReader() || s.agent.Role() == peers.Relay }

// newsPosition is how far the worker list and the decisions were passed on.
type newsPosition struct {
	workers int64
	decided fleet.DecisionPosition
}

// news is what has become known, in parts that fit a datagram each: with the changes of all
// workers, and for members, most of which need those of heads alone.
type news struct {
	all, members []peers.News
}

func (n *news) add(part peers.News) {
	n.all = append(n.all, part)
	n.members = append(n.members, part)
}

// newsSince returns what has become known since a position, and the new position. Where
// everything was read anew there is no news: peers ask for what they lack.
func (s *Server) newsSince(from newsPosition) (news, newsPosition) {
	var n news
	decisions := s.inventory.DecisionsSince(from.decided)
	if !decisions.Whole {
		for _, part := range decisions.Split(decisionsPerNews) {
			n.add(peers.News{Decisions: &part})
		}
	}
	workers, whole := s.inventory.Since(from.workers)
	if !whole && workers.To > workers.From {
		s.addWorkers(&n, workers)
	}
	return n, newsPosition{workers: workers.To, decided: fleet.DecisionPosition{Term: decisions.Term, Seq: decisions.To}}
}

// addWorkers adds changes of the worker list. What cannot be split is fetched. Where members
// hold all workers too they get all changes: told of heads alone, each would stay behind and
// fetch the others at a heartbeat (40 changes behind in TestMembersAreToldWhatTheyHold).
func (s *Server) addWorkers(n *news, changes fleet.Delta) {
	if s.inventory.Complete() {
		parts, _ := changes.Split(changesPerNews)
		for _, part := range parts {
			n.all = append(n.all, peers.News{Workers: &part})
		}
		if s.boundsWarmUp() {
			n.members = n.all
			return
		}
	}
	heads, _ := changes.SplitHeads(changesPerNews)
	for _, part := range heads {
		n.members = append(n.members, peers.News{Workers: &part})
	}
}

// taken takes what a peer passed on.
func (s *Server) taken(p *peers.Peer, n *peers.News) {
	if n.Decisions != nil {
		s.inventory.FollowDecisions(*n.Decisions)
	}
	if n.Workers != nil {
		s.inventory.Follow(*n.Workers, p.WorkersConfirmedAt())
	}
}
