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

// Defaults of a completion.
const (
	defaultMaxTokens = 16
	maxMaxTokens     = 4096
	serviceWork      = 5 * time.Millisecond
	// markHeader carries what the plain service counts a call under.
	markHeader = "Test-Mark"
)

// completion is the part of a request that the engine reads. Resume lists the
// tokens that the caller already has.
type completion struct {
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Resume    []string        `json:"resume"`
}

// prompt returns the text that the answer depends on.
func (r completion) prompt() string {
	if len(r.Messages) > 0 {
		return string(r.Messages)
	}
	return r.Prompt
}

func (r completion) count() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return min(r.MaxTokens, maxMaxTokens)
}

// nodeApp returns the HTTP server of one node.
func nodeApp(n *standin.Node) *fiber.App {
	app := newApp()
	app.Use(func(c *fiber.Ctx) error {
		if !n.Up() {
			return cut(c)
		}
		return c.Next()
	})
	app.Get("/control/state", func(c *fiber.Ctx) error {
		ctx, cancel := withTimeout()
		defer cancel()
		state, err := n.State(ctx)
		if err != nil {
			return err
		}
		return c.JSON(state)
	})
	app.Post("/control/order", func(c *fiber.Ctx) error { return postOrder(n, c) })
	app.Get("/control/runs", func(c *fiber.Ctx) error { return c.JSON(n.Runs()) })
	if n.Listed().Kind == cluster.KindService {
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
	ctx, cancel := withTimeout()
	defer cancel()
	reply, err := n.Order(ctx, order)
	if err != nil {
		return err
	}
	return c.JSON(reply)
}

// cut ends the connection without an answer, as a dead process would.
func cut(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}

func refuse(c *fiber.Ctx, err error) error {
	c.Set(cluster.HeaderStarted, cluster.StartedNo)
	return c.Status(fiber.StatusServiceUnavailable).JSON(fiber.Map{"error": err.Error()})
}

func serveCall(n *standin.Node, c *fiber.Ctx) error {
	mark := strings.Clone(c.Get(markHeader))
	path := strings.Clone(c.Path())
	count, err := n.Call(c.Context(), mark, serviceWork)
	if errors.Is(err, standin.ErrNotStarted) {
		return refuse(c, err)
	}
	if err != nil || !n.Up() {
		return cut(c)
	}
	c.Set(cluster.HeaderRequest, c.Get(cluster.HeaderRequest))
	return c.JSON(fiber.Map{"path": path, "mark": mark, "run": count})
}

func serveCompletion(n *standin.Node, c *fiber.Ctx, chat bool) error {
	var r completion
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		c.Set(cluster.HeaderStarted, cluster.StartedNo)
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": err.Error()})
	}
	id := strings.Clone(c.Get(cluster.HeaderRequest))
	assignment := strings.Clone(c.Get(cluster.HeaderAssignment))
	c.Set(cluster.HeaderRequest, id)
	if r.Stream {
		return streamCompletion(n, c, r, id, assignment, chat)
	}
	var text strings.Builder
	err := n.Generate(c.Context(), assignment, r.prompt(), len(r.Resume), r.count(), func(_ int, token string) error {
		text.WriteString(token)
		return nil
	})
	if errors.Is(err, standin.ErrNotStarted) {
		return refuse(c, err)
	}
	if err != nil {
		return cut(c)
	}
	return c.JSON(wholeAnswer(id, text.String(), r.count(), chat))
}

// event is a token on its way from the engine to the answer.
type event struct {
	index int
	text  string
}

// generation is a request that the engine works on in the background.
type generation struct {
	events chan event
	failed chan error
	cancel context.CancelFunc
}

// generate starts a request. Its events end with the channel, and then failed
// holds the error or nil.
func generate(n *standin.Node, r completion, assignment string) *generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{events: make(chan event), failed: make(chan error, 1), cancel: cancel}
	go func() {
		g.failed <- n.Generate(ctx, assignment, r.prompt(), len(r.Resume), r.count(), func(i int, text string) error {
			select {
			case g.events <- event{index: i, text: text}:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		close(g.events)
	}()
	return g
}

// streamCompletion answers with server-sent events. The first token is made
// before the answer begins, so that a refusal can still be told as one.
func streamCompletion(n *standin.Node, c *fiber.Ctx, r completion, id, assignment string, chat bool) error {
	g := generate(n, r, assignment)
	first, some := <-g.events
	if !some {
		g.cancel()
		if err := <-g.failed; errors.Is(err, standin.ErrNotStarted) {
			return refuse(c, err)
		} else if err != nil {
			return cut(c)
		}
		g.failed <- nil
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.cancel()
		for e, open := first, some; open; e, open = <-g.events {
			if writeEvent(w, tokenEvent(id, e.index, e.text, chat)) != nil {
				return
			}
		}
		if <-g.failed != nil {
			// The stream ends without its last event: the reader sees that it is cut.
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

// choice, event and answer follow the OpenAI API.
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

type answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Token   *int           `json:"token_index,omitempty"`
	Choices []choice       `json:"choices"`
	Usage   map[string]int `json:"usage,omitempty"`
}

func tokenEvent(id string, index int, text string, chat bool) answer {
	a := answer{ID: id, Token: &index}
	if chat {
		a.Object = "chat.completion.chunk"
		a.Choices = []choice{{Delta: &message{Content: text}}}
		return a
	}
	a.Object = "text_completion"
	a.Choices = []choice{{Text: &text}}
	return a
}

func wholeAnswer(id, text string, tokens int, chat bool) answer {
	stop := "stop"
	a := answer{ID: id, Usage: map[string]int{"completion_tokens": tokens}}
	if chat {
		a.Object = "chat.completion"
		a.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}}
		return a
	}
	a.Object = "text_completion"
	a.Choices = []choice{{Text: &text, FinishReason: &stop}}
	return a
}
