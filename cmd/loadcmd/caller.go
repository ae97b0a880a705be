package loadcmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/standin"
)

const (
	// maxAttempts is the number of times that a caller sends a request before it gives up.
	maxAttempts  = 40
	retryPause   = 250 * time.Millisecond
	maxLineBytes = 1 << 20
	callTimeout  = 60 * time.Second
)

// caller sends requests one at a time and records the answers.
type caller struct {
	flags     commandLine
	index     int
	result    *result
	directory *directory
	http      *http.Client
	sent      int
}

// run sends receipts, streamed completions and plain completions in turn until the deadline.
func (c *caller) run(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		c.sent++
		name := fmt.Sprintf("caller-%d-%d-%d", c.index, c.sent, time.Now().UnixNano())
		switch c.sent % 3 {
		case 0:
			c.requestReceipt(ctx, name)
		case 1:
			c.requestCompletion(ctx, name, true)
		default:
			c.requestCompletion(ctx, name, false)
		}
	}
}

// reply is the result of one attempt.
type reply struct {
	status int
	// ran says whether the request was executed: yes, no or unknown. The field is set only if the
	// attempt failed.
	ran    reason.Ran
	reason string
	body   []byte
	// broken is true if the connection failed before the answer was complete.
	broken bool
}

// requestCompletion sends a completion request until it gets a complete answer, at most
// maxAttempts times.
func (c *caller) requestCompletion(ctx context.Context, prompt string, streamed bool) {
	body, err := json.Marshal(map[string]any{
		"model": c.flags.Model, "prompt": prompt, "max_tokens": c.flags.Tokens, "stream": streamed,
	})
	if err != nil {
		panic(err)
	}
	var want strings.Builder
	for i := range c.flags.Tokens {
		want.WriteString(standin.Token(prompt, i))
	}
	start := time.Now()
	for range maxAttempts {
		r := c.post(ctx, "/v1/completions", "", "", body)
		if ctx.Err() != nil {
			return
		}
		if r.status == http.StatusOK && !r.broken {
			c.result.recordAnswer(answerText(r.body, streamed), want.String(), streamed && !isComplete(r.body), time.Since(start))
			if streamed && !isComplete(r.body) {
				continue
			}
			return
		}
		c.result.recordRefusal(r)
		time.Sleep(retryPause)
	}
	c.result.recordLost("completion " + prompt)
}

// requestReceipt makes a service call that must run at most once. It repeats the call under the
// same idempotency key until the call is answered or is known to have run, at most maxAttempts
// times. The simulated service recognizes the request by its mark, which is also the key.
func (c *caller) requestReceipt(ctx context.Context, mark string) {
	body := []byte(`{"receipt":"` + mark + `"}`)
	ran := reason.RanNo
	for range maxAttempts {
		r := c.post(ctx, "/services/"+c.flags.Service+"/receipts", mark, mark, body)
		if r.status == http.StatusOK && !r.broken {
			c.result.recordReceipt(mark, receiptAnswered)
			if !bytes.Contains(r.body, []byte(mark)) {
				c.result.recordCrossed("receipt " + mark)
			}
			return
		}
		c.result.recordRefusal(r)
		if ctx.Err() != nil || r.ran != reason.RanNo {
			ran = reason.RanUnknown
		}
		if ctx.Err() != nil || r.ran == reason.RanYes {
			break
		}
		time.Sleep(retryPause)
	}
	if ran == reason.RanNo {
		c.result.recordReceipt(mark, receiptNotRun)
		return
	}
	c.result.recordReceipt(mark, receiptUnknown)
}

// post makes one attempt to send a request.
func (c *caller) post(ctx context.Context, path, key, mark string, body []byte) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + c.directory.nextAddress(ctx) + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.flags.Key)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Test-Mark", mark)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{broken: true, ran: reason.RanUnknown, reason: "connection"}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, body: data, broken: err != nil}
	if r.broken {
		r.ran, r.reason = reason.RanUnknown, "connection"
		return r
	}
	if response.StatusCode != http.StatusOK {
		r.readProblem()
	}
	return r
}

// readProblem sets ran and reason from the error in the body.
func (r *reply) readProblem() {
	var problem struct {
		Ran    reason.Ran `json:"ran"`
		Reason string     `json:"reason"`
	}
	r.ran, r.reason = reason.RanUnknown, fmt.Sprint("status ", r.status)
	if json.Unmarshal(r.body, &problem) == nil && problem.Reason != "" {
		r.ran, r.reason = problem.Ran, problem.Reason
	}
}

// isComplete reports whether a streamed body ends with the final event.
func isComplete(body []byte) bool {
	return bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]"))
}

// answerText returns the generated text of an answer.
func answerText(body []byte, streamed bool) string {
	if !streamed {
		return choiceText(body)
	}
	var text strings.Builder
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: ")); ok {
			text.WriteString(choiceText(data))
		}
	}
	return text.String()
}

func choiceText(data []byte) string {
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Text
}
