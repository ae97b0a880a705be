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

// reportCommand sums up what logs tell of a span of time.
type reportCommand struct {
	Logs []string `arg:"" help:"Log files of the daemons, JSON lines." type:"existingfile"`
	JSON bool     `help:"Print JSON." name:"json"`
}

// report is where requests were lost or late, and what the leaders did meanwhile.
type report struct {
	// From and To are the times of the first and of the last line.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Refused counts the requests refused or failed, Late the streams that came whole
	// but late, Moved those that went on at another replica, Broken those that broke
	// off, by model and reason.
	Refused map[string]map[string]int `json:"refused"`
	Late    map[string]map[string]int `json:"late"`
	Moved   map[string]map[string]int `json:"moved"`
	Broken  map[string]map[string]int `json:"broken"`
	// Decisions counts what leaders did and found, by the lines' messages.
	Decisions map[string]int `json:"decisions"`
	// Replicas holds what leaders told of each model, by time.
	Replicas []replicasLine `json:"replicas"`
	// Unread counts the lines that were not understood, as where a log was cut.
	Unread int `json:"unread"`
}

// replicasLine is what a leader tells every few seconds of a model.
type replicasLine struct {
	Time  time.Time `json:"@timestamp"`
	Model string    `json:"model"`
	Want  float64   `json:"want"`
	Have  int       `json:"have"`
	Work  float64   `json:"work"`
	Idle  int       `json:"idle_workers"`
}

// noModel stands for the model of requests to services without one.
const noModel = "-"

// decisionLines are the messages that tell what a leader did or found.
var decisionLines = []string{
	"forming replica", "replica opened", "forming given up", "draining replica", "replica dissolved",
	"replica given up for another model", "staging", "staging not taken",
	"worker does not answer", "worker that left the list does not answer", "leading",
}

// Run implements the command.
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
	r := reportOf(lines)
	r.Unread += unread
	if c.JSON {
		encoder := json.NewEncoder(env.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	return r.print(env.stdout)
}

// reportOf sums lines up.
func reportOf(lines []logLine) *report {
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
		r.take(l)
	}
	slices.SortStableFunc(r.Replicas, func(a, b replicasLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Model, b.Model))
	})
	return r
}

func (r *report) take(l logLine) {
	switch l.Message {
	case "request refused":
		count(r.Refused, l.Model, l.Reason)
	case "stream late":
		count(r.Late, l.Model, l.Reason)
	case "stream broken off":
		count(r.Broken, l.Model, l.Reason)
	case "stream resumes":
		count(r.Moved, fleet.ModelOf(l.From), causeOf(l.Error))
	case "replicas":
		var told replicasLine
		if err := json.Unmarshal(l.raw, &told); err != nil {
			r.Unread++
			return
		}
		r.Replicas = append(r.Replicas, told)
	default:
		if slices.Contains(decisionLines, l.Message) {
			r.Decisions[l.Message]++
		}
	}
}

func count(all map[string]map[string]int, model, reason string) {
	if model == "" {
		model = noModel
	}
	if all[model] == nil {
		all[model] = make(map[string]int)
	}
	all[model][reason]++
}

// causeOf returns what an error says last, without the addresses in it.
func causeOf(text string) string {
	parts := strings.Split(text, ": ")
	return parts[len(parts)-1]
}

// print writes the report as text.
func (r *report) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s to %s, %.1f s\n", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339), r.To.Sub(r.From).Seconds())
	for _, part := range []struct {
		title  string
		counts map[string]map[string]int
	}{
		{"refused or failed", r.Refused}, {"late", r.Late}, {"went on elsewhere", r.Moved}, {"broken off", r.Broken},
	} {
		printCounts(w, part.title, part.counts)
	}
	fmt.Fprintln(w, "\nleaders\tcount")
	for _, message := range decisionLines {
		if n := r.Decisions[message]; n > 0 {
			fmt.Fprintf(w, "%s\t%d\n", message, n)
		}
	}
	fmt.Fprintln(w, "\nsecond\tmodel\twanted\tthere\tbusy slots\tidle workers")
	for _, told := range r.Replicas {
		fmt.Fprintf(w, "%.1f\t%s\t%.1f\t%d\t%.0f\t%d\n", told.Time.Sub(r.From).Seconds(), told.Model, told.Want, told.Have, told.Work, told.Idle)
	}
	if r.Unread > 0 {
		fmt.Fprintf(w, "\n%d lines were not understood\n", r.Unread)
	}
	return w.Flush()
}

// printCounts writes one table: reasons by model, and the sum of each model.
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
