// Package measurecmd implements the command that runs the simulations of package measure and
// prints their results as tables.
package measurecmd

import (
	"fmt"
	"io"

	"quartzshelf.dev/cmd/common"
	"quartzshelf.dev/measure"
)

// Exit codes of the command.
const (
	exitOK    = 0
	exitUsage = 2
)

type commandLine struct {
	Seed uint64 `help:"Seed of the trials with chance." default:"20261202"`
}

// Run prints the results of all simulations and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var flags commandLine
	if !common.Parse("quartzshelf-measure", "Tries single decisions against baselines.", &flags, args, stdout, stderr) {
		return exitUsage
	}
	printRouting(stdout, flags.Seed)
	printOverload(stdout, flags.Seed)
	printRepair(stdout)
	return exitOK
}

const millisPerSecond = 1000

func printRouting(w io.Writer, seed uint64) {
	for _, share := range []float64{0.6, 0.8} {
		fmt.Fprintf(w, "### Routing at %.0f%% of capacity, largest account doubled for 10 s\n\n", 100*share)
		fmt.Fprintln(w, "| policy | first token p50 ms | p95 ms | p99 ms | smallest account p99 ms in the burst | prefix hits | fullest endpoint (slots) |")
		fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
		for _, p := range measure.RoutingPolicies() {
			r := measure.RunRouting(p, measure.Load{CapacityShare: share, BurstFactor: 2}, seed)
			fmt.Fprintf(w, "| %s | %.0f | %.0f | %.0f | %.0f | %.0f%% | %.2f |\n", r.Policy,
				millisPerSecond*r.FirstTokenP50, millisPerSecond*r.FirstTokenP95, millisPerSecond*r.FirstTokenP99, millisPerSecond*r.SmallestAccountFirstTokenP99, 100*r.HitShare, r.PeakOccupancy)
		}
		fmt.Fprintln(w)
	}
}

func printOverload(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "### Overload: first tokens within 0.36 s, a second")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| load | without admission | with admission | refused | smallest account refused | first token p95 ms without | with |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	policies := measure.RoutingPolicies()
	ownPolicy := policies[len(policies)-1]
	for _, share := range []float64{1, 1.5, 3} {
		withoutAdmission := measure.RunRouting(ownPolicy, measure.Load{CapacityShare: share}, seed)
		withAdmission := measure.RunRouting(ownPolicy, measure.Load{CapacityShare: share, UseAdmission: true}, seed)
		fmt.Fprintf(w, "| %.1f | %.0f | %.0f | %.0f%% | %.0f%% | %.0f | %.0f |\n", share, withoutAdmission.Goodput, withAdmission.Goodput,
			100*withAdmission.RefusedShare, 100*withAdmission.SmallestAccountRefusedShare, millisPerSecond*withoutAdmission.FirstTokenP95, millisPerSecond*withAdmission.FirstTokenP95)
	}
	fmt.Fprintln(w)
}

func printRepair(w io.Writer) {
	fmt.Fprintln(w, "### Repair and change of version: 30 minutes of one domain, replicas of 16 nodes")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| scenario | policy | group downtime, replica-s | stranded, accelerator-s | least serving |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, s := range measure.RepairScenarios() {
		for _, p := range measure.RepairPolicies() {
			r := measure.RunRepair(s, p)
			fmt.Fprintf(w, "| %s | %s | %.1f | %.0f | %d of %d |\n", r.Scenario, r.Policy,
				r.DowntimeReplicaSeconds, r.StrandedAcceleratorSeconds, r.MinServingReplicas, s.Replicas)
		}
	}
}
