package operatorcmd

import (
	"bytes"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/daemon"
)

// getCommand shows published objects.
type getCommand struct {
	Kind     string `arg:"" optional:"" help:"Kind of the objects; all without it."`
	Name     string `arg:"" optional:"" help:"Name of the object; all without it."`
	Selector string `help:"Only objects whose labels match." short:"l"`
}

// Run prints the matching objects.
func (g *getCommand) Run(env *environment) error {
	if g.Kind != "" {
		if _, err := config.ParseKind(g.Kind); err != nil {
			return &usageError{cause: err}
		}
	}
	rows, err := env.client.listObjects(g.Kind, g.Name, g.Selector)
	if err != nil {
		return err
	}
	if g.Name != "" && len(rows) == 0 {
		return &usageError{cause: fmt.Errorf("%s/%s does not exist", g.Kind, g.Name)}
	}
	t := table{head: []string{"KIND", "NAME", "REVISION", "LABELS"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{string(r.Kind), r.Name, strconv.FormatInt(r.Revision, 10), labelText(r.Labels)})
	}
	return show(env.stdout, env.format, rows, t)
}

func labelText(labels map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, name+"="+labels[name])
	}
	return strings.Join(parts, ",")
}

// historyCommand shows the latest verdicts on changes.
type historyCommand struct{}

// Run prints the verdicts.
func (h *historyCommand) Run(env *environment) error {
	var verdicts []config.Verdict
	if err := env.client.get("/api/history", &verdicts); err != nil {
		return err
	}
	t := table{head: []string{"REVISION", "TIME", "AUTHOR", "VERDICT", "OBJECTS", "PROBLEM"}}
	for _, v := range verdicts {
		verdict := "refused"
		if v.Accepted {
			verdict = "accepted"
		}
		t.rows = append(t.rows, []string{
			strconv.FormatInt(v.Offset+1, 10), v.Time, v.Author, verdict, strings.Join(v.Objects, ","), v.Problem,
		})
	}
	return show(env.stdout, env.format, verdicts, t)
}

// statusCommand shows the state of the fleet.
type statusCommand struct{}

// Run prints the status of one daemon and its view of the fleet.
func (s *statusCommand) Run(env *environment) error {
	var status daemon.Status
	if err := env.client.get("/api/status", &status); err != nil {
		return err
	}
	if env.format != formatTable {
		return show(env.stdout, env.format, status, table{})
	}
	// The page is written in a single call, because a reader such as grep -q may close the pipe
	// early.
	var page bytes.Buffer
	fmt.Fprintf(&page, "daemon %s is %s, configuration revision %d\n", status.Daemon, status.Ready, status.Revision)
	if status.LogProblem != "" {
		fmt.Fprintln(&page, "warning:", status.LogProblem)
	}
	for _, warning := range status.Warnings {
		fmt.Fprintln(&page, "warning:", warning)
	}
	fmt.Fprintf(&page, "dark replicas %d, group downtime %.0f replica-seconds\n", status.Sums.DarkReplicas, status.Sums.DowntimeReplicaSeconds)
	fmt.Fprintf(&page, "stranded accelerators %d, %.0f accelerator-seconds\n\n", status.Sums.StrandedAccelerators, status.Sums.StrandedAcceleratorSeconds)
	for _, t := range []table{replicaTable(status), hallTable(status.Halls), domainTable(status), memberTable(status), counterTable(status)} {
		if err := t.write(&page); err != nil {
			return err
		}
		fmt.Fprintln(&page)
	}
	_, err := page.WriteTo(env.stdout)
	return err
}

func replicaTable(s daemon.Status) table {
	t := table{head: []string{"REPLICA", "DEPLOYMENT", "DOMAIN", "STATE", "VERSION", "NODES", "ACTIVE", "QUEUE", "WHY"}}
	for _, r := range s.Replicas {
		t.rows = append(t.rows, []string{
			r.Name, r.Deployment, r.Domain, r.State, r.Version, strconv.Itoa(len(r.Nodes)),
			strconv.Itoa(r.Active), strconv.Itoa(r.Queue), r.Reason,
		})
	}
	return t
}

func domainTable(s daemon.Status) table {
	t := table{head: []string{"DOMAIN", "DATA HALL", "OWNER", "LED BY", "EPOCH", "RANK", "REPORT"}}
	for _, d := range s.Domains {
		report := "out of date"
		if d.Current {
			report = "current"
		}
		t.rows = append(t.rows, []string{
			d.Name, d.DataHall, d.Owner, d.Leader,
			strconv.FormatUint(d.Epoch, 10), strconv.FormatUint(uint64(d.Rank), 10), report,
		})
	}
	return t
}

func memberTable(s daemon.Status) table {
	t := table{head: []string{"DAEMON", "STATE", "DATA HALL", "CALLERS' ADDRESS"}}
	for _, m := range s.Members {
		t.rows = append(t.rows, []string{m.Name, m.State, m.DataHall, m.Address})
	}
	return t
}

func counterTable(s daemon.Status) table {
	t := table{head: []string{"REFUSED OR RETRIED", "REASON", "COUNT"}}
	add := func(what string, counters map[reason.Reason]int64) {
		for _, r := range slices.Sorted(maps.Keys(counters)) {
			t.rows = append(t.rows, []string{what, string(r), strconv.FormatInt(counters[r], 10)})
		}
	}
	add("refused", s.Refusals)
	add("retried", s.Retries)
	return t
}

// explainCommand shows the reasons for the state of an object or for the routing of a request.
type explainCommand struct {
	Kind string `arg:"" enum:"replica,node,hall,request" help:"What to explain: replica, node, hall or request."`
	Name string `arg:"" help:"Name of the replica, node or data hall, or the Quartzshelf-Request header of an answer."`
}

// Run prints the state and the reasons for it.
func (e *explainCommand) Run(env *environment) error {
	var explanation daemon.Explanation
	if err := env.client.get("/api/explain/"+e.Kind+"/"+url.PathEscape(e.Name), &explanation); err != nil {
		return err
	}
	if env.format != formatTable {
		return show(env.stdout, env.format, explanation, table{})
	}
	fmt.Fprintf(env.stdout, "%s: %s\n", explanation.Subject, explanation.State)
	for _, because := range explanation.Because {
		fmt.Fprintln(env.stdout, "  -", because)
	}
	return nil
}
