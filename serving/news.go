package serving

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// newsBatchDelay is the delay between two sends of news. News that arrives in between is sent
	// together.
	newsBatchDelay = 40 * time.Millisecond
	// changesPerNews is the maximum number of changes of the worker list in one datagram, and
	// decisionsPerNews that of decisions. A datagram should fit into one network frame.
	changesPerNews   = 14
	decisionsPerNews = 16
)

// forwardNews sends new changes of the worker list and new decisions to peers while this daemon is
// a leader or relay. It sends each only once. Daemons that miss a message detect the gap from the
// positions in heartbeats and fetch what they lack.
func (s *Server) forwardNews(ctx context.Context) {
	var forwarded newsPosition
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.configCache.Changed():
			// Peers fetch the configuration when a heartbeat reports a new version.
			if s.forwardsNews() {
				s.agent.SendHeartbeat(time.Now())
			}
			continue
		case <-s.inventory.PeerUpdates():
		}
		if s.forwardsNews() {
			var unsent news
			unsent, forwarded = s.newsSince(forwarded)
			s.agent.SendNews(unsent.all, unsent.members, s.isReader(), time.Now())
		} else {
			forwarded = newsPosition{workers: s.inventory.Position(), decisions: s.inventory.Decided()}
		}
		pause.Sleep(ctx, newsBatchDelay)
	}
}

// forwardsNews reports whether this daemon forwards new state to others, as leaders and relays do.
func (s *Server) forwardsNews() bool { return s.isReader() || s.agent.Role() == peers.Relay }

// newsPosition holds the positions up to which the worker list and the decisions were forwarded.
type newsPosition struct {
	workers   int64
	decisions fleet.DecisionPosition
}

// news holds news in parts that fit into a datagram each. all has the changes of all workers.
// members is for members of the hall, most of which need only the changes of group heads.
type news struct {
	all, members []peers.News
}

func (n *news) add(part peers.News) {
	n.all = append(n.all, part)
	n.members = append(n.members, part)
}

// newsSince returns the news since a position, and the new position. If the changes since then are
// not available, it returns none, and peers have to fetch the state.
func (s *Server) newsSince(from newsPosition) (news, newsPosition) {
	var n news
	decisions := s.inventory.DecisionsSince(from.decisions)
	if !decisions.IsSnapshot {
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

// addWorkers adds changes of the worker list. Peers have to fetch changes that cannot be split.
// Members that hold all workers get all changes, the others only those of group heads.
func (s *Server) addWorkers(n *news, changes fleet.Delta) {
	if s.inventory.IsComplete() {
		parts, _ := changes.Split(changesPerNews)
		for _, part := range parts {
			n.all = append(n.all, peers.News{Workers: &part})
		}
		if s.limitsWarmUp() {
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
		s.rejectInvalid(p.ID, n.Workers.Changes)
		s.inventory.Follow(*n.Workers, p.WorkersConfirmedAt())
	}
}

// rejectInvalid turns the invalid workers that a peer passed on into removals, and logs them.
func (s *Server) rejectInvalid(peer string, changes []fleet.Change) {
	for _, err := range fleet.RejectInvalid(changes) {
		s.logger.Warn("invalid worker of a peer skipped", "peer", peer, "error", err)
	}
}
