package server

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/standin"
)

// Limits and defaults of requests.
const (
	defaultMaxTokens = 16
	maxTokensLimit   = 4096
	serviceCallTime  = 5 * time.Millisecond
	// callMarkHeader carries the mark by which the plain service counts calls.
	callMarkHeader = "Test-Mark"
)

// completionRequest holds the fields of a completion request that the engine uses. Resume lists the
// tokens that the caller has already received.
type completionRequest struct {
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Resume    []string        `json:"resume"`
}

// prompt returns the messages of a chat request, or else the prompt. It determines the answer.
func (r completionRequest) prompt() string {
	if len(r.Messages) > 0 {
		return string(r.Messages)
	}
	return r.Prompt
}

func (r completionRequest) tokenCount() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return min(r.MaxTokens, maxTokensLimit)
}

// newNodeApp returns the HTTP application of one node.
func newNodeApp(n *standin.Node) *fiber.App {
	app := newApp()
	app.Use(func(c *fiber.Ctx) error {
		if !n.IsUp() {
			return closeWithoutResponse(c)
		}
		return c.Next()
	})
	app.Get("/control/state", func(c *fiber.Ctx) error {
		ctx, cancel := newCallContext()
		defer cancel()
		state, err := n.State(ctx)
		if err != nil {
			return err
		}
		return c.JSON(state)
	})
	app.Post("/control/order", func(c *fiber.Ctx) error { return postOrder(n, c) })
	app.Get("/control/runs", func(c *fiber.Ctx) error { return c.JSON(n.CallCounts()) })
	if n.ListEntry().Kind == cluster.KindService {
		app.All("/*", func(c *fiber.Ctx) error { return serveCall(n, c) })
		return app
	}
	app.Post("/v1/chat/completions", func(c *fiber.Ctx) error { return serveCompletion(n, c, true) })
	app.Post("/v1/completions", func(c *fiber.Ctx) error { return serveCompletion(n, c, false) })
	return app
}

func postOrder(n *standin.Node, c *fiber.Ctx) error {
	var order cluster.Order
	if err := c.BodyParser(&order); err != nil {
		return err
	}
	ctx, cancel := newCallContext()
	defer cancel()
	reply, err := n.Order(ctx, order)
	if err != nil {
		return err
	}
	return c.JSON(reply)
}

// closeWithoutResponse closes the connection without a response, as a killed process would.
func closeWithoutResponse(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}

func respondNotStarted(c *fiber.Ctx, err error) error {
	c.Set(cluster.HeaderStarted, cluster.StartedNo)
	return c.Status(fiber.StatusServiceUnavailable).JSON(fiber.Map{"error": err.Error()})
}

func serveCall(n *standin.Node, c *fiber.Ctx) error {
	mark := strings.Clone(c.Get(callMarkHeader))
	path := strings.Clone(c.Path())
	count, err := n.Call(c.Context(), mark, serviceCallTime)
	if errors.Is(err, standin.ErrNotStarted) {
		return respondNotStarted(c, err)
	}
	if err != nil || !n.IsUp() {
		return closeWithoutResponse(c)
	}
	c.Set(cluster.HeaderRequest, c.Get(cluster.HeaderRequest))
	return c.JSON(fiber.Map{"path": path, "mark": mark, "run": count})
}

func serveCompletion(n *standin.Node, c *fiber.Ctx, isChat bool) error {
	var r completionRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		c.Set(cluster.HeaderStarted, cluster.StartedNo)
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": err.Error()})
	}
	id := strings.Clone(c.Get(cluster.HeaderRequest))
	assignment := strings.Clone(c.Get(cluster.HeaderAssignment))
	c.Set(cluster.HeaderRequest, id)
	if r.Stream {
		return streamCompletion(n, c, r, id, assignment, isChat)
	}
	var text strings.Builder
	err := n.Generate(c.Context(), assignment, r.prompt(), len(r.Resume), r.tokenCount(), func(_ int, token string) error {
		text.WriteString(token)
		return nil
	})
	if errors.Is(err, standin.ErrNotStarted) {
		return respondNotStarted(c, err)
	}
	if err != nil {
		return closeWithoutResponse(c)
	}
	return c.JSON(newWholeResponse(id, text.String(), r.tokenCount(), isChat))
}

// generatedToken is a token with its index in the answer.
type generatedToken struct {
	index int
	text  string
}

// generationTask is a request that the engine executes in the background.
type generationTask struct {
	tokens chan generatedToken
	result chan error
	cancel context.CancelFunc
}

// startGeneration starts a request in the background. After the last token, the result of the
// request is sent on the channel result, and the channel tokens is closed.
func startGeneration(n *standin.Node, r completionRequest, assignment string) *generationTask {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generationTask{tokens: make(chan generatedToken), result: make(chan error, 1), cancel: cancel}
	go func() {
		g.result <- n.Generate(ctx, assignment, r.prompt(), len(r.Resume), r.tokenCount(), func(i int, text string) error {
			select {
			case g.tokens <- generatedToken{index: i, text: text}:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		close(g.tokens)
	}()
	return g
}

// streamCompletion responds with server-sent events. It waits for the first token before it sends
// the status. It can thus still reject a request that was not started.
func streamCompletion(n *standin.Node, c *fiber.Ctx, r completionRequest, id, assignment string, isChat bool) error {
	g := startGeneration(n, r, assignment)
	first, hasToken := <-g.tokens
	if !hasToken {
		g.cancel()
		if err := <-g.result; errors.Is(err, standin.ErrNotStarted) {
			return respondNotStarted(c, err)
		} else if err != nil {
			return closeWithoutResponse(c)
		}
		g.result <- nil
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.cancel()
		for e, hasMore := first, hasToken; hasMore; e, hasMore = <-g.tokens {
			if writeEvent(w, newChunkResponse(id, e.index, e.text, isChat)) != nil {
				return
			}
		}
		if <-g.result != nil {
			// The stream ends without its last event, so that clients detect the failure.
			return
		}
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	})
	return nil
}

func writeEvent(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return w.Flush()
}

// choice is one choice of a completionResponse. The response types follow the OpenAI API.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID         string         `json:"id"`
	Object     string         `json:"object"`
	TokenIndex *int           `json:"token_index,omitempty"`
	Choices    []choice       `json:"choices"`
	Usage      map[string]int `json:"usage,omitempty"`
}

func newChunkResponse(id string, index int, text string, isChat bool) completionResponse {
	response := completionResponse{ID: id, TokenIndex: &index}
	if isChat {
		response.Object = "chat.completion.chunk"
		response.Choices = []choice{{Delta: &message{Content: text}}}
		return response
	}
	response.Object = "text_completion"
	response.Choices = []choice{{Text: &text}}
	return response
}

func newWholeResponse(id, text string, tokenCount int, isChat bool) completionResponse {
	stop := "stop"
	response := completionResponse{ID: id, Usage: map[string]int{"completion_tokens": tokenCount}}
	if isChat {
		response.Object = "chat.completion"
		response.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}}
		return response
	}
	response.Object = "text_completion"
	response.Choices = []choice{{Text: &text, FinishReason: &stop}}
	return response
}
