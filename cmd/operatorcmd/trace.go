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
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 1 << 20
	// relatedWindow is the time before the first and after the last line of a request in which
	// lines about the request's workers and replicas are also part of the trace.
	relatedWindow = 3 * time.Second
)

// traceCommand prints the log lines about a request, worker or replica.
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
	// fileName is the base name of the log file. raw is the JSON text of the line.
	fileName string
	raw      []byte
}

// Run prints the trace, and an outdated assumption of the daemon if the trace shows one.
func (c *traceCommand) Run(env *environment) error {
	var lines []logLine
	for _, file := range c.Logs {
		// Lines that can't be parsed are left out of the trace.
		read, _, err := readLog(file)
		if err != nil {
			return &usageError{cause: err}
		}
		lines = append(lines, read...)
	}
	trace := traceLines(c.ID, lines)
	if len(trace) == 0 {
		return &usageError{cause: fmt.Errorf("no line tells of %s; a request that was served without anything unusual leaves none", c.ID)}
	}
	for _, l := range trace {
		fmt.Fprintf(env.stdout, "%+9.3fs %-24s %s %s\n", l.Time.Sub(trace[0].Time).Seconds(), l.fileName, l.Message, l.extraFields())
	}
	if assumption := staleAssumption(c.ID, trace); assumption != "" {
		fmt.Fprintln(env.stdout, "belief that was wrong:", assumption)
	}
	return nil
}

// readLog reads a log. It ignores text before the first brace of a line and lines without a
// brace. It returns the number of other lines that could not be parsed or have no message.
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
		l := logLine{fileName: filepath.Base(file), raw: bytes.Clone(scanner.Bytes()[start:])}
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

// peerInError matches the property "peer" in the text of an error. The value of
// that property is the ID of the called party, such as a worker.
var peerInError = regexp.MustCompile(`peer: ([^,}]+)`)

// standardFields matches the fields that every log line has.
var standardFields = regexp.MustCompile(`"@(level|message|module|timestamp)":"(\\.|[^"\\])*",?`)

// mentionedNames returns the names of the workers and replicas in a line.
func (l logLine) mentionedNames() []string {
	all := []string{l.Replica, l.Head, l.Worker, l.From}
	for _, m := range peerInError.FindAllStringSubmatch(l.Error, -1) {
		all = append(all, m[1])
	}
	return slices.DeleteFunc(all, func(s string) bool { return s == "" })
}

// extraFields returns the JSON text of a line without the standard fields.
func (l logLine) extraFields() string {
	return string(standardFields.ReplaceAll(l.raw, nil))
}

// traceLines returns the lines that mention an id, sorted by time. If the id is that of a
// request, the result includes lines within relatedWindow about the request's workers and replicas.
func traceLines(id string, lines []logLine) []logLine {
	var matching []logLine
	related := make(map[string]bool)
	for _, l := range lines {
		if !bytes.Contains(l.raw, []byte(`"`+id+`"`)) && !slices.Contains(l.mentionedNames(), id) {
			continue
		}
		matching = append(matching, l)
		if l.Request == id {
			for _, name := range l.mentionedNames() {
				related[name] = true
			}
		}
	}
	if len(matching) == 0 {
		return nil
	}
	slices.SortStableFunc(matching, byTime)
	first, last := matching[0].Time.Add(-relatedWindow), matching[len(matching)-1].Time.Add(relatedWindow)
	trace := matching
	for _, l := range lines {
		isNear := l.Time.After(first) && l.Time.Before(last) && l.Request == ""
		if isNear && mentionsAny(l, related) && !containsLine(matching, l) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, byTime)
	return trace
}

func byTime(a, b logLine) int {
	return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.fileName, b.fileName))
}

func mentionsAny(l logLine, names map[string]bool) bool {
	return slices.ContainsFunc(l.mentionedNames(), func(name string) bool { return names[name] })
}

func containsLine(lines []logLine, l logLine) bool {
	return slices.ContainsFunc(lines, func(o logLine) bool { return o.fileName == l.fileName && bytes.Equal(o.raw, l.raw) })
}

// staleAssumption returns an assumption of the daemon that was wrong, such as that a failed
// worker was alive. It returns an empty string if the trace shows none.
func staleAssumption(id string, trace []logLine) string {
	for _, l := range trace {
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
