package proof

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"quartzshelf.dev/standin"
)

// fault is one entry of a schedule.
type fault struct {
	// delay is the time since the previous fault.
	delay time.Duration
	name  string
	// host, other and node are indices. Each kind of fault uses those that it needs.
	host, other, node int
}

// String describes the fault in the message of a failed test.
func (f fault) String() string {
	return fmt.Sprintf("+%v %s host=%d other=%d node=%d", f.delay, f.name, f.host, f.other, f.node)
}

// faultNames are the kinds of faults in random schedules.
var faultNames = []string{
	"kill host", "start host", "freeze host", "resume host", "cut hosts", "cut log", "cut nodes", "heal",
	"kill node", "restart node", "stick node", "unstick node", "node leaves", "node stays",
	"freeze on order", "freeze on append", "log out", "log loses answers", "log slow", "log well",
}

// delays are the possible times between two faults or calls.
var delays = []time.Duration{
	0, 100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second, 14 * time.Second,
}

// drawSchedule draws between minFaults and maxFaults faults for a fleet of the given size.
// Indices are drawn from lists because drawing from ranges favors small numbers.
func drawSchedule(t *rapid.T, hosts, nodes, minFaults, maxFaults int) []fault {
	index := func(n int) *rapid.Generator[int] { return rapid.SampledFrom(indices(n)) }
	generator := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			delay: rapid.SampledFrom(delays).Draw(t, "delay"),
			name:  rapid.SampledFrom(faultNames).Draw(t, "fault"),
			host:  index(hosts).Draw(t, "host"),
			other: index(hosts).Draw(t, "other"),
			node:  index(nodes).Draw(t, "node"),
		}
	})
	return rapid.SliceOfN(generator, minFaults, maxFaults).Draw(t, "schedule")
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// injectFault applies one fault.
func (f *fleet) injectFault(x fault, opts fleetOptions) {
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
		f.net.freezeBeforeNext(h.id, placeNodes)
	case "freeze on append":
		f.net.freezeBeforeNext(h.id, placeLog)
	case "cut hosts":
		f.net.setCut(h.id, f.hosts[x.other].id, true)
	case "cut log":
		f.net.setCut(h.id, placeLog, true)
	case "cut nodes":
		f.net.setCut(h.id, placeNodes, true)
	case "heal":
		f.net.heal()
	default:
		f.injectLogFault(x.name)
		if nodes := f.cluster.AllNodes(); x.node < len(nodes) {
			injectNodeFault(x.name, nodes[x.node])
		}
	}
}

// injectFaults applies the faults of a schedule in order, after their delays.
func (f *fleet) injectFaults(schedule []fault, opts fleetOptions) {
	for _, x := range schedule {
		time.Sleep(x.delay)
		f.injectFault(x, opts)
	}
}

// endFaults ends all faults and restarts the daemons and nodes that are down.
func (f *fleet) endFaults(opts fleetOptions) {
	f.net.heal()
	f.log.SetFaults(standin.LogFaults{})
	for _, h := range f.hosts {
		if h.cancel == nil {
			h.start(opts)
		}
	}
	for _, n := range f.cluster.AllNodes() {
		n.SetUnresponsive(false)
		n.SetLeaving(false)
		n.Restart()
	}
}

func injectNodeFault(name string, node *standin.Node) {
	switch name {
	case "kill node":
		node.Kill()
	case "restart node":
		node.Restart()
	case "stick node":
		node.SetUnresponsive(true)
	case "unstick node":
		node.SetUnresponsive(false)
	case "node leaves":
		node.SetLeaving(true)
	case "node stays":
		node.SetLeaving(false)
	}
}

func (f *fleet) injectLogFault(name string) {
	switch name {
	case "log out":
		f.log.SetFaults(standin.LogFaults{Outage: true})
	case "log loses answers":
		f.log.SetFaults(standin.LogFaults{LoseResponses: true})
	case "log slow":
		f.log.SetFaults(standin.LogFaults{SlowMillis: 1500})
	case "log well":
		f.log.SetFaults(standin.LogFaults{})
	}
}
