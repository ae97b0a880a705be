package proof

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"quartzshelf.dev/standin"
)

// fault is one entry of a schedule.
type fault struct {
	// wait is the time since the fault before.
	wait time.Duration
	name string
	// host, other and node are indices; each fault takes what it needs.
	host, other, node int
}

// String describes the fault for a failed test.
func (f fault) String() string {
	return fmt.Sprintf("+%v %s host=%d other=%d node=%d", f.wait, f.name, f.host, f.other, f.node)
}

// faultNames are the faults that a schedule is drawn from.
var faultNames = []string{
	"kill host", "start host", "freeze host", "resume host", "cut hosts", "cut log", "cut nodes", "heal",
	"kill node", "restart node", "stick node", "unstick node", "node leaves", "node stays",
	"freeze on order", "freeze on append", "log out", "log loses answers", "log slow", "log well",
}

// waits are the times between faults: many come together, some long after.
var waits = []time.Duration{
	0, 100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second, 14 * time.Second,
}

// drawSchedule draws between least and most faults for a fleet of the given
// size. Numbers are drawn from lists, as ranges favour small numbers.
func drawSchedule(t *rapid.T, hosts, nodes, least, most int) []fault {
	oneOf := func(n int) *rapid.Generator[int] { return rapid.SampledFrom(numbers(n)) }
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			wait:  rapid.SampledFrom(waits).Draw(t, "wait"),
			name:  rapid.SampledFrom(faultNames).Draw(t, "fault"),
			host:  oneOf(hosts).Draw(t, "host"),
			other: oneOf(hosts).Draw(t, "other"),
			node:  oneOf(nodes).Draw(t, "node"),
		}
	})
	return rapid.SliceOfN(one, least, most).Draw(t, "schedule")
}

func numbers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// hit makes the fault happen.
func (f *fleet) hit(x fault, opts fleetOptions) {
	h := f.hosts[x.host]
	switch x.name {
	case "kill host":
		h.kill()
	case "start host":
		if h.cancel == nil {
			h.start(opts)
		}
	case "freeze host":
		f.net.freeze(h.id)
	case "resume host":
		f.net.resume(h.id)
	case "freeze on order":
		f.net.arm(h.id, placeNodes)
	case "freeze on append":
		f.net.arm(h.id, placeLog)
	case "cut hosts":
		f.net.setCut(h.id, f.hosts[x.other].id, true)
	case "cut log":
		f.net.setCut(h.id, placeLog, true)
	case "cut nodes":
		f.net.setCut(h.id, placeNodes, true)
	case "heal":
		f.net.heal()
	default:
		f.hitLog(x.name)
		if nodes := f.cluster.All(); x.node < len(nodes) {
			hitNode(x.name, nodes[x.node])
		}
	}
}

// hitAll makes the faults of a schedule happen, one after the other.
func (f *fleet) hitAll(schedule []fault, opts fleetOptions) {
	for _, x := range schedule {
		time.Sleep(x.wait)
		f.hit(x, opts)
	}
}

// mend ends all faults and starts what is down.
func (f *fleet) mend(opts fleetOptions) {
	f.net.heal()
	f.log.SetFaults(standin.LogFaults{})
	for _, h := range f.hosts {
		if h.cancel == nil {
			h.start(opts)
		}
	}
	for _, n := range f.cluster.All() {
		n.SetStuck(false)
		n.SetLeaving(false)
		n.Restart()
	}
}

func hitNode(name string, node *standin.Node) {
	switch name {
	case "kill node":
		node.Kill()
	case "restart node":
		node.Restart()
	case "stick node":
		node.SetStuck(true)
	case "unstick node":
		node.SetStuck(false)
	case "node leaves":
		node.SetLeaving(true)
	case "node stays":
		node.SetLeaving(false)
	}
}

func (f *fleet) hitLog(name string) {
	switch name {
	case "log out":
		f.log.SetFaults(standin.LogFaults{Outage: true})
	case "log loses answers":
		f.log.SetFaults(standin.LogFaults{LoseAnswers: true})
	case "log slow":
		f.log.SetFaults(standin.LogFaults{SlowMillis: 1500})
	case "log well":
		f.log.SetFaults(standin.LogFaults{})
	}
}
