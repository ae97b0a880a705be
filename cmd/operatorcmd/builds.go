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

// The messages of the log lines that tell of builds.
const (
	messageStarted = "started"
	messageFormat  = "the fleet acts by a version of the format"
)

// buildsCommand lists what daemons were built from, during an upgrade and after it.
type buildsCommand struct {
	Logs []string `arg:"" help:"Log files of the daemons, JSON lines." type:"existingfile"`
}

// buildLine is what a daemon tells of itself when it starts, and of the format that it acts by.
type buildLine struct {
	Time   time.Time `json:"@timestamp"`
	Node   string    `json:"node"`
	Build  string    `json:"build"`
	Format int       `json:"format"`
	Oldest int       `json:"oldest"`
}

// Run implements the command.
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

// newestBuild returns the newest life that a log tells of, and by which format it acts now.
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

// printBuilds lists builds by daemon. Daemons of builds that tell none are of the first format.
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
