package operatorcmd

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Messages of the log lines that contain the build or the format version of a daemon.
const (
	messageStarted = "started"
	messageFormat  = "the fleet acts by a version of the format"
)

// buildsCommand reads the logs of daemons and lists, for each daemon, its build and the version of
// the inter-daemon message format that it uses.
type buildsCommand struct {
	Logs []string `arg:"" help:"Log files of the daemons, JSON lines." type:"existingfile"`
}

// buildLine holds the fields of those log lines that the command shows. Format is the newest format
// version that the daemon supports. Oldest is the lowest of these versions over all daemons. The
// fleet uses that version.
type buildLine struct {
	Time   time.Time `json:"@timestamp"`
	Node   string    `json:"node"`
	Build  string    `json:"build"`
	Format int       `json:"format"`
	Oldest int       `json:"oldest"`
}

// Run prints one line per log in which a daemon reports its start.
func (c *buildsCommand) Run(env *environment) error {
	var all []buildLine
	for _, file := range c.Logs {
		lines, _, err := readLog(file)
		if err != nil {
			return &usageError{cause: err}
		}
		if b, ok := newestBuild(lines); ok {
			all = append(all, b)
		}
	}
	return printBuilds(env.stdout, all)
}

// newestBuild returns the build that a daemon last started with, and the format version that it
// has used since.
func newestBuild(lines []logLine) (newest buildLine, ok bool) {
	for _, l := range lines {
		var b buildLine
		if l.Message != messageStarted && l.Message != messageFormat || json.Unmarshal(l.raw, &b) != nil {
			continue
		}
		switch {
		case l.Message == messageStarted && b.Node != "":
			newest, ok = b, true
		case l.Message == messageFormat:
			newest.Oldest = b.Oldest
		}
	}
	return newest, ok
}

// printBuilds prints the builds, sorted by daemon. A daemon that logs no format version has
// version 1.
func printBuilds(out io.Writer, all []buildLine) error {
	slices.SortFunc(all, func(a, b buildLine) int { return cmp.Compare(a.Node, b.Node) })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tBUILD\tFORMAT\tACTS BY\tSINCE")
	for _, b := range all {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", b.Node, cmp.Or(b.Build, "unknown"), max(b.Format, 1), max(b.Oldest, 1), b.Time.Format(time.RFC3339))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print builds: %w", err)
	}
	return nil
}
