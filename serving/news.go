package serving

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// newsBatchDelay is how long news is collected before it is sent together.
	newsBatchDelay = 40 * time.Millisecond
	// changesPerNews and decisionsPerNews limit the worker list changes and decisions in a
	// datagram, so that it fits into one network frame. Compressed, a change takes about 70 bytes
	// and a decision about 60.
	changesPerNews   = 14
	decisionsPerNews = 16
)

// forwardNews forwards new changes and decisions once, while this daemon is leader or relay.
// Daemons that miss some of it detect the gap from the positions in heartbeats and fetch it.
func (s *Server) forwardNews(ctx context.Context) {
	var forwarded newsPosition
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.beliefs.Changed():
			// Peers fetch the configuration when a heartbeat reports a new version.
			if s.forwardsNews() {
				s.agent.SendHeartbeat(time.Now())
			}
			continue
		case <-s.inventory.News():
		}
		if s.forwardsNews() {
			var n news
			n, forwarded = s.newsSince(forwarded)
			s.agent.SendNews(n.all, n.members, s.isReader(), time.Now())
		} else {
			forwarded = newsPosition{workers: s.inventory.Position(), decisions: s.inventory.Decided()}
		}
		pause.For(ctx, newsBatchDelay)
	}
}

// forwardsNews reports whether this daemon forwards what it learns.
func (s *Server) forwardsNews() bool { return s.isReader() || s.agent.Role() == peers.Relay }

// newsPosition is the position up to which the worker list and the decisions were forwarded.
type newsPosition struct {
	workers   int64
	decisions fleet.DecisionPosition
}

// news holds new information in parts that fit into a datagram each: all with the changes of all
// workers, members with the changes of group heads only, which is all that most members need.
type news struct {
	all, members []peers.News
}

func (n *news) add(part peers.News) {
	n.all = append(n.all, part)
	n.members = append(n.members, part)
}

// newsSince returns the news since a position, and the new position. After a full reload there is
// no news; peers fetch what they lack.
func (s *Server) newsSince(from newsPosition) (news, newsPosition) {
	var n news
	decisions := s.inventory.DecisionsSince(from.decisions)
	if !decisions.Whole {
		for _, part := range decisions.Split(decisionsPerNews) {
			n.add(peers.News{Decisions: &part})
		}
	}
	workers, whole := s.inventory.Since(from.workers)
	if !whole && workers.To > workers.From {
		s.addWorkers(&n, workers)
	}
	return n, newsPosition{workers: workers.To, decisions: fleet.DecisionPosition{Term: decisions.Term, Seq: decisions.To}}
}

// addWorkers adds changes of the worker list. Changes that cannot be split are left for peers to
// fetch. Members that hold all workers get all changes, since with those of heads alone they would
// fall behind and have to fetch the rest.
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

// onNews processes news that a peer forwarded.
func (s *Server) onNews(p *peers.Peer, n *peers.News) {
	if n.Decisions != nil {
		s.inventory.FollowDecisions(*n.Decisions)
	}
	if n.Workers != nil {
		s.inventory.Follow(*n.Workers, p.WorkersConfirmedAt())
	}
}
