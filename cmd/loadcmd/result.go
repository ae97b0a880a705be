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

// receiptState is what a caller knows about the execution of a receipt request, a service call
// that must run at most once.
type receiptState int

const (
	// receiptAnswered means that the caller got the result. The request must have run once.
	receiptAnswered receiptState = iota
	// receiptNotRun means that every attempt was answered with "not run". The request must not
	// have run.
	receiptNotRun
	// receiptUnknown means that the request may have run, but at most once.
	receiptUnknown
)

const (
	maxExamples     = 10
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// result counts what the callers observed. It is safe for concurrent use.
type result struct {
	mu sync.Mutex
	// answers is the number of complete completions.
	answers int
	// crossed is the number of answers whose text differs from the expected one, such as text of
	// another request.
	crossed int
	// cut is the number of streams that ended without the final event.
	cut int
	// lost is the number of completion requests that were never answered.
	lost int
	// ranTwice is the number of receipt requests that ran more than once.
	ranTwice int
	// falseNotRun is the number of receipt requests that were reported as not run, but ran.
	falseNotRun int
	// answeredNotRun is the number of receipt requests that were answered, but did not run.
	answeredNotRun int
	// refusals counts attempts without a result, by reason and by whether the request ran.
	refusals map[string]int
	// receipts holds the state of each receipt request by its mark.
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

// recordAnswer counts an answer with status 200 and compares its text with the expected one. If
// the stream was cut off, its text must be a prefix of the expected one.
func (r *result) recordAnswer(got, want string, isCut bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isCut {
		if !strings.HasPrefix(want, got) {
			r.crossed++
			r.addExample("crossed: got %q, want %q", got, want)
		}
		r.cut++
		return
	}
	r.answers++
	// The error can be ignored: calls time out long before the histogram's maximum.
	_ = r.latencies.RecordValue(latency.Microseconds())
	if got != want {
		r.crossed++
		r.addExample("crossed: got %q, want %q", got, want)
	}
}

func (r *result) addExample(format string, args ...any) {
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf(format, args...))
	}
}

func (r *result) recordCrossed(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crossed++
	r.addExample("crossed: %s", request)
}

func (r *result) recordLost(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
	r.addExample("lost: %s", request)
}

// recordRefusal counts an attempt that gave no result, by reason and by whether the request ran.
func (r *result) recordRefusal(a reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[a.reason+" ran="+string(a.ran)]++
}

func (r *result) recordReceipt(mark string, state receiptState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receipts[mark] = state
}

// checkRuns asks the simulated service nodes how often each receipt request ran, and counts the
// faults. The list of the nodes is read from the address.
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
	r.compareRuns(runs)
	return nil
}

func (r *result) compareRuns(runs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for mark, state := range r.receipts {
		switch n := runs[mark]; {
		case n > 1:
			r.ranTwice++
			r.addExample("doubled: %s ran %d times", mark, n)
		case n == 1 && state == receiptNotRun:
			r.falseNotRun++
			r.addExample("false no: %s ran", mark)
		case n == 0 && state == receiptAnswered:
			r.answeredNotRun++
			r.addExample("answered but not run: %s", mark)
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

// faultCount returns the number of faults of all kinds. A stream that was cut off counts too,
// because it ended without a final event or an error.
func (r *result) faultCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crossed + r.cut + r.lost + r.ranTwice + r.falseNotRun + r.answeredNotRun
}

// summary is the JSON document that the tool prints.
type summary struct {
	Answers        int            `json:"answers"`
	Receipts       int            `json:"receipts"`
	Unknown        int            `json:"receipts_of_unknown_fate"`
	Lost           int            `json:"lost"`
	RanTwice       int            `json:"doubled"`
	Crossed        int            `json:"crossed"`
	Cut            int            `json:"cut"`
	FalseNotRun    int            `json:"said_not_run_but_ran"`
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
		Answers: r.answers, Receipts: len(r.receipts), Lost: r.lost, RanTwice: r.ranTwice,
		Crossed: r.crossed, Cut: r.cut, FalseNotRun: r.falseNotRun, AnsweredNotRun: r.answeredNotRun,
		Refusals: maps.Clone(r.refusals), Examples: r.examples,
		P50Millis: r.latencyMillis(50), P95Millis: r.latencyMillis(95), P99Millis: r.latencyMillis(99),
	}
	for _, state := range r.receipts {
		if state == receiptUnknown {
			s.Unknown++
		}
	}
	return s
}

func (r *result) latencyMillis(percent float64) float64 {
	return float64(r.latencies.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}
