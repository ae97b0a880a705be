package operatorcmd

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// maxLogLine bounds a line of a log, in bytes.
	maxLogLine = 1 << 20
	// aroundRequest is how long before and after a request's lines those about
	// its workers and replicas belong to its story.
	aroundRequest = 3 * time.Second
)

// traceCommand tells the story of a request, worker or replica from logs.
type traceCommand struct {
	ID   string   `arg:"" help:"Identity of a request, worker or replica."`
	Logs []string `help:"Log files of the daemons, JSON lines." required:"" type:"existingfile"`
}

// logLine is a line of a daemon's log.
type logLine struct {
	Time    time.Time `json:"@timestamp"`
	Module  string    `json:"@module"`
	Message string    `json:"@message"`
	Request string    `json:"request"`
	Replica string    `json:"replica"`
	Head    string    `json:"head"`
	Worker  string    `json:"worker"`
	Error   string    `json:"error"`
	From    string    `json:"from"`
	Model   string    `json:"model"`
	Reason  string    `json:"reason"`
	// daemon is the log's file, raw the line as it stands.
	daemon string
	raw    []byte
}

// Run implements the command.
func (c *traceCommand) Run(env *environment) error {
	var lines []logLine
	for _, file := range c.Logs {
		// What is not understood leaves gaps in a story, but no wrong lines.
		read, _, err := readLog(file)
		if err != nil {
			return &usageError{cause: err}
		}
		lines = append(lines, read...)
	}
	story := storyOf(c.ID, lines)
	if len(story) == 0 {
		return &usageError{cause: fmt.Errorf("no line tells of %s; a request that was served without anything unusual leaves none", c.ID)}
	}
	for _, l := range story {
		fmt.Fprintf(env.stdout, "%+9.3fs %-24s %s %s\n", l.Time.Sub(story[0].Time).Seconds(), l.daemon, l.Message, l.fields())
	}
	if belief := wrongBelief(c.ID, story); belief != "" {
		fmt.Fprintln(env.stdout, "belief that was wrong:", belief)
	}
	return nil
}

// readLog reads a log. What stands before a line's first brace is passed over, as are
// lines without one. It counts the others that are not understood.
func readLog(file string) (lines []logLine, unread int, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, fmt.Errorf("read log: %w", err)
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		l := logLine{daemon: filepath.Base(file), raw: bytes.Clone(scanner.Bytes()[start:])}
		if json.Unmarshal(l.raw, &l) != nil || l.Message == "" {
			unread++
			continue
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log %s: %w", file, err)
	}
	return lines, unread, nil
}

// peerInError finds the worker that an error names.
var peerInError = regexp.MustCompile(`peer: ([^,}]+)`)

// knownFields finds the fields that every line has.
var knownFields = regexp.MustCompile(`"@(level|message|module|timestamp)":"(\\.|[^"\\])*",?`)

// names returns the workers and replicas that a line tells of.
func (l logLine) names() []string {
	all := []string{l.Replica, l.Head, l.Worker, l.From}
	for _, m := range peerInError.FindAllStringSubmatch(l.Error, -1) {
		all = append(all, m[1])
	}
	return slices.DeleteFunc(all, func(s string) bool { return s == "" })
}

// fields returns what a line tells beside its message, as it stands.
func (l logLine) fields() string {
	return string(knownFields.ReplaceAll(l.raw, nil))
}

// storyOf returns the lines that tell of an identity, in order of time: for a
// request, also those around it that tell of its workers and replicas.
func storyOf(id string, lines []logLine) []logLine {
	var own []logLine
	related := make(map[string]bool)
	for _, l := range lines {
		if !bytes.Contains(l.raw, []byte(`"`+id+`"`)) && !slices.Contains(l.names(), id) {
			continue
		}
		own = append(own, l)
		if l.Request == id {
			for _, name := range l.names() {
				related[name] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	first, last := own[0].Time.Add(-aroundRequest), own[len(own)-1].Time.Add(aroundRequest)
	story := own
	for _, l := range lines {
		near := l.Time.After(first) && l.Time.Before(last) && l.Request == ""
		if near && tellsOf(l, related) && !contains(own, l) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

func byTime(a, b logLine) int {
	return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.daemon, b.daemon))
}

func tellsOf(l logLine, names map[string]bool) bool {
	return slices.ContainsFunc(l.names(), func(name string) bool { return names[name] })
}

func contains(lines []logLine, l logLine) bool {
	return slices.ContainsFunc(lines, func(o logLine) bool { return o.daemon == l.daemon && bytes.Equal(o.raw, l.raw) })
}

// wrongBelief returns what the daemon believed of the request's worker that
// was not so, if the story tells.
func wrongBelief(id string, story []logLine) string {
	for _, l := range story {
		if l.Request != "" && l.Request != id {
			continue
		}
		switch l.Message {
		case "worker does not answer":
			return fmt.Sprintf("that %s, a member of %s, lived", l.Worker, l.Replica)
		case "replica dissolved":
			return fmt.Sprintf("that %s served", l.Replica)
		}
	}
	return ""
}
