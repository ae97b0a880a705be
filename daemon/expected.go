package daemon

import "quartzshelf.dev/rpc"

// expectedMembers is the daemons that may hold a newer configuration while the log is out of
// reach: all that were members since it was last read, and have not departed. The table
// of members forgets the dead after a while; to a daemon that is cut off, all others
// look dead.
type expectedMembers struct {
	ids map[string]bool
	// seenOthers tells that another daemon was ever a member in this life.
	seenOthers bool
}

// update takes over the members; logRead tells whether the log was read lately.
func (e *expectedMembers) update(members []*rpc.Member, logRead bool) {
	if logRead || e.ids == nil {
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

// count returns how many daemons are expected, this one included.
func (e *expectedMembers) count() int { return len(e.ids) }
