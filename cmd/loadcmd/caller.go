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
	// maxAttempts is how often a caller sends one request again before it
	// counts it as lost.
	maxAttempts = 40
	pauseRetry  = 250 * time.Millisecond
	maxLine     = 1 << 20
	callTimeout = 60 * time.Second
)

// caller sends one request after the other.
type caller struct {
	line      commandLine
	number    int
	result    *result
	directory *directory
	http      *http.Client
	sent      int
}

// run sends requests of the three kinds in turn until the deadline.
func (c *caller) run(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		c.sent++
		name := fmt.Sprintf("caller-%d-%d-%d", c.number, c.sent, time.Now().UnixNano())
		switch c.sent % 3 {
		case 0:
			c.receipt(ctx, name)
		case 1:
			c.completion(ctx, name, true)
		default:
			c.completion(ctx, name, false)
		}
	}
}

// reply is what came of one attempt.
type reply struct {
	status int
	// ran is set on answers that are not the result.
	ran    reason.Ran
	reason string
	body   []byte
	// broken is set when the connection ended before the answer did.
	broken bool
}

// completion asks for an answer until it has a whole one.
func (c *caller) completion(ctx context.Context, prompt string, streamed bool) {
	body, err := json.Marshal(map[string]any{
		"model": c.line.Model, "prompt": prompt, "max_tokens": c.line.Tokens, "stream": streamed,
	})
	if err != nil {
		panic(err)
	}
	var want strings.Builder
	for i := range c.line.Tokens {
		want.WriteString(standin.Token(prompt, i))
	}
	start := time.Now()
	for range maxAttempts {
		r := c.post(ctx, "/v1/completions", "", "", body)
		if ctx.Err() != nil {
			return
		}
		if r.status == http.StatusOK && !r.broken {
			c.result.answer(textOf(r.body, streamed), want.String(), streamed && !isWhole(r.body), time.Since(start))
			if streamed && !isWhole(r.body) {
				continue
			}
			return
		}
		c.result.refused(r)
		time.Sleep(pauseRetry)
	}
	c.result.lose("completion " + prompt)
}

// receipt makes a call that must run at most once, with a key, and asks again
// with the same key until the outcome is known or cannot be known.
func (c *caller) receipt(ctx context.Context, mark string) {
	body := []byte(`{"receipt":"` + mark + `"}`)
	all := reason.RanNo
	for range maxAttempts {
		r := c.post(ctx, "/services/"+c.line.Service+"/receipts", mark, mark, body)
		if r.status == http.StatusOK && !r.broken {
			c.result.receipt(mark, receiptAnswered)
			if !bytes.Contains(r.body, []byte(mark)) {
				c.result.cross("receipt " + mark)
			}
			return
		}
		c.result.refused(r)
		if ctx.Err() != nil || r.ran != reason.RanNo {
			all = reason.RanUnknown
		}
		if ctx.Err() != nil || r.ran == reason.RanYes {
			break
		}
		time.Sleep(pauseRetry)
	}
	if all == reason.RanNo {
		c.result.receipt(mark, receiptNotRun)
		return
	}
	c.result.receipt(mark, receiptUnknown)
}

// post sends one attempt.
func (c *caller) post(ctx context.Context, path, key, mark string, body []byte) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + c.directory.address(ctx) + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.line.Key)
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

// readProblem takes the fields of an error from the body.
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

// isWhole reports whether a stream ended with its last event.
func isWhole(body []byte) bool {
	return bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]"))
}

// textOf returns the text of an answer.
func textOf(body []byte, streamed bool) string {
	if !streamed {
		return choiceText(body)
	}
	var text strings.Builder
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, maxLine)
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
