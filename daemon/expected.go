package daemon

import "quartzshelf.dev/rpc"

// expectedMembers is the set of daemons that may hold a newer configuration while the log is
// unavailable. It contains all daemons that have been members since the log was last read, except
// those that left as planned. The table of members can't replace this set, because the table drops
// dead members after a while. To a daemon that is cut off, all others look dead.
type expectedMembers struct {
	// ids are the names of the members.
	ids map[string]bool
	// seenOthers is set if another daemon has been a member since this process started.
	seenOthers bool
}

// update adds the current members and removes those that left. If the log was read within
// contactTimeout, it drops all earlier members first.
func (e *expectedMembers) update(members []*rpc.Member, wasLogRead bool) {
	if wasLogRead || e.ids == nil {
		e.ids = make(map[string]bool, len(members))
	}
	for _, m := range members {
		if m.State == rpc.MemberState_LEFT {
			delete(e.ids, m.Id)
			continue
		}
		e.ids[m.Id] = true
	}
	e.seenOthers = e.seenOthers || len(members) > 1
}

// count returns the number of expected daemons, this one included.
func (e *expectedMembers) count() int { return len(e.ids) }
