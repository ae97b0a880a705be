package operatorcmd

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"quartzshelf.dev/fleet"
)

// reportCommand summarizes the logs of daemons.
type reportCommand struct {
	Logs []string `arg:"" help:"Log files of the daemons, JSON lines." type:"existingfile"`
	JSON bool     `help:"Print JSON." name:"json"`
}

// report counts refused, late and interrupted requests, and the decisions of the leaders.
type report struct {
	// From and To are the times of the earliest and the latest log line.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Refused counts the requests that were refused or failed, by model and reason. Late counts
	// the streams that were complete but late. Moved counts the streams that resumed at another
	// replica. Broken counts the streams that were interrupted.
	Refused map[string]map[string]int `json:"refused"`
	Late    map[string]map[string]int `json:"late"`
	Moved   map[string]map[string]int `json:"moved"`
	Broken  map[string]map[string]int `json:"broken"`
	// Decisions counts the log lines of leaders, by message.
	Decisions map[string]int `json:"decisions"`
	// Replicas holds the periodic status lines of the leaders, sorted by time and model.
	Replicas []replicasLine `json:"replicas"`
	// Unread counts the lines that could not be parsed, such as a truncated last line.
	Unread int `json:"unread"`
}

// replicasLine is the status that a leader logs periodically for each model.
type replicasLine struct {
	Time  time.Time `json:"@timestamp"`
	Model string    `json:"model"`
	Want  float64   `json:"want"`
	Have  int       `json:"have"`
	Work  float64   `json:"work"`
	Idle  int       `json:"idle_workers"`
}

// noModel is the model shown for requests to services without a model.
const noModel = "-"

// decisionMessages are the messages of log lines in which a leader reports a decision or an
// event.
var decisionMessages = []string{
	"forming replica", "replica opened", "forming given up", "draining replica", "replica dissolved",
	"replica given up for another model", "staging", "staging not taken",
	"worker does not answer", "worker that left the list does not answer", "leading",
}

// Run prints a summary of the logs.
func (c *reportCommand) Run(env *environment) error {
	var lines []logLine
	unread := 0
	for _, file := range c.Logs {
		read, bad, err := readLog(file)
		if err != nil {
			return &usageError{cause: err}
		}
		lines = append(lines, read...)
		unread += bad
	}
	if len(lines) == 0 {
		return &usageError{cause: fmt.Errorf("no line of a daemon in %s", strings.Join(c.Logs, ", "))}
	}
	r := summarizeLines(lines)
	r.Unread += unread
	if c.JSON {
		encoder := json.NewEncoder(env.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	return r.print(env.stdout)
}

// summarizeLines builds a report from log lines.
func summarizeLines(lines []logLine) *report {
	r := &report{
		Refused: make(map[string]map[string]int), Late: make(map[string]map[string]int),
		Moved: make(map[string]map[string]int), Broken: make(map[string]map[string]int), Decisions: make(map[string]int),
	}
	for _, l := range lines {
		if r.From.IsZero() || l.Time.Before(r.From) {
			r.From = l.Time
		}
		if l.Time.After(r.To) {
			r.To = l.Time
		}
		r.addLine(l)
	}
	slices.SortStableFunc(r.Replicas, func(a, b replicasLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Model, b.Model))
	})
	return r
}

func (r *report) addLine(l logLine) {
	switch l.Message {
	case "request refused":
		addCount(r.Refused, l.Model, l.Reason)
	case "stream late":
		addCount(r.Late, l.Model, l.Reason)
	case "stream broken off":
		addCount(r.Broken, l.Model, l.Reason)
	case "stream resumes":
		addCount(r.Moved, fleet.ModelOf(l.From), lastCause(l.Error))
	case "replicas":
		var status replicasLine
		if err := json.Unmarshal(l.raw, &status); err != nil {
			r.Unread++
			return
		}
		r.Replicas = append(r.Replicas, status)
	default:
		if slices.Contains(decisionMessages, l.Message) {
			r.Decisions[l.Message]++
		}
	}
}

func addCount(all map[string]map[string]int, model, reason string) {
	if model == "" {
		model = noModel
	}
	if all[model] == nil {
		all[model] = make(map[string]int)
	}
	all[model][reason]++
}

// lastCause returns the part of an error text after the last colon, the root cause.
func lastCause(text string) string {
	parts := strings.Split(text, ": ")
	return parts[len(parts)-1]
}

// print writes the report as text.
func (r *report) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s to %s, %.1f s\n", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339), r.To.Sub(r.From).Seconds())
	for _, section := range []struct {
		title  string
		counts map[string]map[string]int
	}{
		{"refused or failed", r.Refused}, {"late", r.Late}, {"went on elsewhere", r.Moved}, {"broken off", r.Broken},
	} {
		printCounts(w, section.title, section.counts)
	}
	fmt.Fprintln(w, "\nleaders\tcount")
	for _, message := range decisionMessages {
		if n := r.Decisions[message]; n > 0 {
			fmt.Fprintf(w, "%s\t%d\n", message, n)
		}
	}
	fmt.Fprintln(w, "\nsecond\tmodel\twanted\tthere\tbusy slots\tidle workers")
	for _, status := range r.Replicas {
		fmt.Fprintf(w, "%.1f\t%s\t%.1f\t%d\t%.0f\t%d\n", status.Time.Sub(r.From).Seconds(), status.Model, status.Want, status.Have, status.Work, status.Idle)
	}
	if r.Unread > 0 {
		fmt.Fprintf(w, "\n%d lines were not understood\n", r.Unread)
	}
	return w.Flush()
}

// printCounts writes one table: a row for each reason, and the total of each model.
func printCounts(w io.Writer, title string, counts map[string]map[string]int) {
	fmt.Fprintf(w, "\n%s\tmodel\tcount\n", title)
	for _, model := range slices.Sorted(maps.Keys(counts)) {
		total := 0
		for _, reason := range slices.Sorted(maps.Keys(counts[model])) {
			fmt.Fprintf(w, "%s\t%s\t%d\n", reason, model, counts[model][reason])
			total += counts[model][reason]
		}
		fmt.Fprintf(w, "in all\t%s\t%d\n", model, total)
	}
}
