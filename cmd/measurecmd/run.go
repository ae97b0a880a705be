// Package measurecmd prints the trials of package measure as tables.
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

// Run prints all trials and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	if !common.Parse("quartzshelf-measure", "Tries single decisions against baselines.", &line, args, stdout, stderr) {
		return exitUsage
	}
	routing(stdout, line.Seed)
	overload(stdout, line.Seed)
	repair(stdout)
	return exitOK
}

const milli = 1000

func routing(w io.Writer, seed uint64) {
	for _, share := range []float64{0.6, 0.8} {
		fmt.Fprintf(w, "### Routing at %.0f%% of capacity, largest account doubled for 10 s\n\n", 100*share)
		fmt.Fprintln(w, "| policy | first token p50 ms | p95 ms | p99 ms | smallest account p99 ms in the burst | prefix hits | fullest endpoint (slots) |")
		fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
		for _, p := range measure.Policies() {
			r := measure.Routing(p, measure.Load{Share: share, Burst: 2}, seed)
			fmt.Fprintf(w, "| %s | %.0f | %.0f | %.0f | %.0f | %.0f%% | %.2f |\n", r.Policy,
				milli*r.FirstP50, milli*r.FirstP95, milli*r.FirstP99, milli*r.SmallP99, 100*r.Hits, r.Peak)
		}
		fmt.Fprintln(w)
	}
}

func overload(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "### Overload: first tokens within 0.36 s, a second")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| load | without admission | with admission | refused | smallest account refused | first token p95 ms without | with |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	policies := measure.Policies()
	ours := policies[len(policies)-1]
	for _, share := range []float64{1, 1.5, 3} {
		open := measure.Routing(ours, measure.Load{Share: share}, seed)
		gated := measure.Routing(ours, measure.Load{Share: share, Admit: true}, seed)
		fmt.Fprintf(w, "| %.1f | %.0f | %.0f | %.0f%% | %.0f%% | %.0f | %.0f |\n", share, open.Goodput, gated.Goodput,
			100*gated.Refused, 100*gated.RefusedSmall, milli*open.FirstP95, milli*gated.FirstP95)
	}
	fmt.Fprintln(w)
}

func repair(w io.Writer) {
	fmt.Fprintln(w, "### Repair and change of version: 30 minutes of one domain, replicas of 16 nodes")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| scenario | policy | group downtime, replica-s | stranded, accelerator-s | least serving |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, s := range measure.RepairScenarios() {
		for _, p := range measure.RepairPolicies() {
			r := measure.Repair(s, p)
			fmt.Fprintf(w, "| %s | %s | %.1f | %.0f | %d of %d |\n", r.Scenario, r.Policy,
				r.Downtime, r.Stranded, r.LeastServing, s.Replicas)
		}
	}
}
