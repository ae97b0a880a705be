package daemon

import (
	"math/rand/v2"

	"quartzshelf.dev/gateway"
	"quartzshelf.dev/rpc"
)

// listEntries returns, in random order, the addresses of the daemons that take requests and are not
// leaving. Daemons in closed data halls are only listed if there are no others. Their answers then
// tell callers that the halls are closed.
func (d *Daemon) listEntries() []gateway.Entry {
	view := d.configState.View()
	open, closed := []gateway.Entry{}, []gateway.Entry{}
	for _, m := range d.stayingMembers() {
		if m.State != rpc.MemberState_ALIVE || !m.Ready {
			continue
		}
		entry := gateway.Entry{Address: m.EntryAddress, DataHall: m.DataHall}
		if view.Hall(m.DataHall).Closed() {
			closed = append(closed, entry)
		} else {
			open = append(open, entry)
		}
	}
	all := open
	if len(all) == 0 {
		all = closed
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
