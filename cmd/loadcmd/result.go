package loadcmd

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quartzshelf.dev/cluster"
)

// receiptState is what a caller knows of a receipt at the end.
type receiptState int

const (
	// receiptAnswered receipts must have run exactly once.
	receiptAnswered receiptState = iota
	// receiptNotRun receipts must not have run: every answer said so.
	receiptNotRun
	// receiptUnknown receipts may have run once.
	receiptUnknown
)

const (
	maxExamples     = 10
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// result counts what the callers saw. It is safe for concurrent use.
type result struct {
	mu        sync.Mutex
	answers   int
	crossed   int
	cut       int
	lost      int
	doubled   int
	falseNo   int
	unrun     int
	refusals  map[string]int
	receipts  map[string]receiptState
	examples  []string
	latencies *hdrhistogram.Histogram
}

func newResult() *result {
	return &result{
		refusals: make(map[string]int), receipts: make(map[string]receiptState),
		latencies: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// answer checks the text of an answer with status 200.
func (r *result) answer(got, want string, cut bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cut {
		// What came before the cut must still be right.
		if !strings.HasPrefix(want, got) {
			r.crossed++
			r.example("crossed: got %q, want %q", got, want)
		}
		r.cut++
		return
	}
	r.answers++
	// Values out of range are not possible: calls time out before.
	_ = r.latencies.RecordValue(took.Microseconds())
	if got != want {
		r.crossed++
		r.example("crossed: got %q, want %q", got, want)
	}
}

func (r *result) example(format string, args ...any) {
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf(format, args...))
	}
}

func (r *result) cross(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crossed++
	r.example("crossed: %s", what)
}

func (r *result) lose(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
	r.example("lost: %s", what)
}

// refused counts an answer that is not the result.
func (r *result) refused(a reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[a.reason+" ran="+string(a.ran)]++
}

func (r *result) receipt(mark string, state receiptState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receipts[mark] = state
}

// checkRuns asks the stand-in's service nodes how often each receipt ran.
func (r *result) checkRuns(address string) error {
	client := &http.Client{Timeout: callTimeout}
	var list struct {
		Nodes []cluster.ListedNode `json:"nodes"`
	}
	if err := getJSON(client, "http://"+address+"/nodes", &list); err != nil {
		return err
	}
	runs := make(map[string]int)
	for _, n := range list.Nodes {
		if n.Kind != cluster.KindService {
			continue
		}
		var counted map[string]int
		if err := getJSON(client, "http://"+n.Address+"/control/runs", &counted); err != nil {
			return err
		}
		for mark, count := range counted {
			runs[mark] += count
		}
	}
	r.compare(runs)
	return nil
}

func (r *result) compare(runs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for mark, state := range r.receipts {
		switch n := runs[mark]; {
		case n > 1:
			r.doubled++
			r.example("doubled: %s ran %d times", mark, n)
		case n == 1 && state == receiptNotRun:
			r.falseNo++
			r.example("false no: %s ran", mark)
		case n == 0 && state == receiptAnswered:
			r.unrun++
			r.example("answered but not run: %s", mark)
		}
	}
}

func getJSON(client *http.Client, url string, reply any) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(reply)
}

// faults returns how much went wrong. A cut stream is a fault: it ended
// without its last event and without an error.
func (r *result) faults() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crossed + r.cut + r.lost + r.doubled + r.falseNo + r.unrun
}

// summary is the result as it is printed.
type summary struct {
	Answers        int            `json:"answers"`
	Receipts       int            `json:"receipts"`
	Unknown        int            `json:"receipts_of_unknown_fate"`
	Lost           int            `json:"lost"`
	Doubled        int            `json:"doubled"`
	Crossed        int            `json:"crossed"`
	Cut            int            `json:"cut"`
	FalseNo        int            `json:"said_not_run_but_ran"`
	AnsweredNotRun int            `json:"answered_but_not_run"`
	Refusals       map[string]int `json:"answers_without_result"`
	P50Millis      float64        `json:"whole_answer_p50_ms"`
	P95Millis      float64        `json:"whole_answer_p95_ms"`
	P99Millis      float64        `json:"whole_answer_p99_ms"`
	Examples       []string       `json:"examples,omitempty"`
}

func (r *result) summary() summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := summary{
		Answers: r.answers, Receipts: len(r.receipts), Lost: r.lost, Doubled: r.doubled,
		Crossed: r.crossed, Cut: r.cut, FalseNo: r.falseNo, AnsweredNotRun: r.unrun,
		Refusals: maps.Clone(r.refusals), Examples: r.examples,
		P50Millis: r.quantile(50), P95Millis: r.quantile(95), P99Millis: r.quantile(99),
	}
	for _, state := range r.receipts {
		if state == receiptUnknown {
			s.Unknown++
		}
	}
	return s
}

func (r *result) quantile(percent float64) float64 {
	return float64(r.latencies.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}
