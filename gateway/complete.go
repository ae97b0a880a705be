package gateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/intent"
)

// resumeField is the field of a request by which an engine is told the tokens
// that the caller already has.
const resumeField = "resume"

// completeChat serves chat completions, completeText text completions.
func (g *Gateway) completeChat(c *fiber.Ctx) error { return g.complete(c, true) }

func (g *Gateway) completeText(c *fiber.Ctx) error { return g.complete(c, false) }

func (g *Gateway) complete(c *fiber.Ctx, chat bool) error {
	r, bad := g.newRequest(c)
	if bad != nil {
		return g.refuse(c, bad)
	}
	c.Set(headerRequest, r.id)
	parsed, bad := parseCompletion(r.body)
	if bad != nil {
		return g.refuse(c, bad)
	}
	deployment, ok := g.opts.Config().Deployment(parsed.Model)
	if !ok || !deployment.Allows(r.account) {
		return g.refuse(c, refuse(reason.UnknownModel, "the model %q does not exist or is not open to this account", parsed.Model))
	}
	if bad := parsed.check(chat); bad != nil {
		return g.refuse(c, bad)
	}
	r.repeatable = r.key == "" && r.header.Get(headerRepeatable) != valueNo
	if bad := g.admit(r, deployment); bad != nil {
		return g.refuse(c, bad)
	}
	g.budget.earn()
	r.begin(c)
	choose := g.chooseReplica(r, deployment, parsed.prompt())
	return g.run(c, r, choose, parsed.Stream)
}

// run serves a request: at most once if it must not be repeated and has a key.
func (g *Gateway) run(c *fiber.Ctx, r *request, choose chooser, streamed bool) error {
	if r.repeatable || r.key == "" {
		return g.relay(c, r, choose, streamed, nil)
	}
	claim, bad := g.claim(r)
	if bad != nil {
		r.cancel()
		return g.refuse(c, bad)
	}
	if !claim.Won() {
		r.cancel()
		return g.answerClaimed(c, r, claim)
	}
	return g.relay(c, r, choose, streamed, &claim)
}

// relay sends the request and passes the answer on.
func (g *Gateway) relay(c *fiber.Ctx, r *request, choose chooser, streamed bool, claim *intent.Claim) error {
	tried := make(map[string]bool)
	maySend := func(now time.Time) bool { return claim == nil || claim.MaySend(now) }
	a, bad := g.open(r, r.body, choose, tried, maySend)
	if bad != nil {
		r.cancel()
		g.settle(claim, bad.ran, intent.Answer{})
		return g.refuse(c, bad)
	}
	c.Set(headerReplica, a.target.id)
	if streamed && isEventStream(a.response) && a.response.StatusCode == http.StatusOK {
		g.relayStream(c, r, a, choose, tried, claim)
		return nil
	}
	return g.relayWhole(c, r, a, choose, tried, claim)
}

// relayWhole reads the whole answer before the caller gets any of it, so that
// a broken one can be replaced.
func (g *Gateway) relayWhole(c *fiber.Ctx, r *request, a *attempt, choose chooser, tried map[string]bool, claim *intent.Claim) error {
	defer r.cancel()
	for {
		body, err := readAll(a.response, a.target.address)
		a.close()
		if err == nil {
			g.guard.Completed(r.guarded())
			answer := intent.NewAnswer(a.response.StatusCode, a.response.Header.Get(fiber.HeaderContentType), body)
			g.settle(claim, reason.RanYes, answer)
			c.Set(headerReplica, a.target.id)
			return writeAnswer(c, answer)
		}
		g.broke(r, a.target, err)
		failed := failedSend(err)
		var none *refusal
		if a, none = g.again(r, r.body, failed, choose, tried); none != nil {
			g.settle(claim, failed.ran, intent.Answer{})
			return g.refuse(c, none)
		}
	}
}

// again opens another attempt after one that broke while it answered.
func (g *Gateway) again(r *request, body []byte, failed *refusal, choose chooser, tried map[string]bool) (*attempt, *refusal) {
	failed = r.truthful(failed)
	if !r.repeatable || len(tried) >= maxTries || r.ctx.Err() != nil || !g.budget.take() {
		return nil, failed
	}
	g.opts.Meter.Retry(reason.RetryBroken)
	return g.open(r, body, choose, tried, func(time.Time) bool { return true })
}

// settle tells the ledger how the request ended.
func (g *Gateway) settle(claim *intent.Claim, ran reason.Ran, answer intent.Answer) {
	if claim == nil {
		return
	}
	switch ran {
	case reason.RanYes:
		g.opts.Ledger.Finish(*claim, answer)
	case reason.RanNo:
		ctx, cancel := g.detached()
		defer cancel()
		g.opts.Ledger.Release(ctx, *claim)
	default:
		g.opts.Ledger.Lose(*claim)
	}
}

// relayStream passes the events on as they come, after the handler returned.
func (g *Gateway) relayStream(c *fiber.Ctx, r *request, a *attempt, choose chooser, tried map[string]bool, claim *intent.Claim) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.cancel()
		s := &relayedStream{g: g, r: r, w: w, choose: choose, tried: tried, claim: claim, last: r.start}
		s.run(a)
	})
}

// relayedStream is a stream on its way to a caller.
type relayedStream struct {
	g      *Gateway
	r      *request
	w      *bufio.Writer
	choose chooser
	tried  map[string]bool
	claim  *intent.Claim
	// tokens are those that the caller has.
	tokens []string
	// copied is the answer as sent, kept for a second caller of the key.
	copied []byte
	last   time.Time
	// gone tells that the caller does not take any more.
	gone bool
}

// run passes on the events of a, and of the attempts that resume it.
func (s *relayedStream) run(a *attempt) {
	for {
		err := s.copy(a)
		if err == nil {
			s.finish()
			return
		}
		if s.gone && s.r.repeatable {
			return
		}
		s.g.broke(s.r, a.target, err)
		failed := failedSend(&sendError{sent: true, cause: err})
		next, none := s.resume(failed)
		if none != nil {
			s.fail(none)
			return
		}
		a = next
	}
}

// copy passes on the events of one attempt until its proper end.
func (s *relayedStream) copy(a *attempt) error {
	in := newStream(a, s.r.id, len(s.tokens))
	defer in.close()
	for {
		data, token, err := in.read()
		if err != nil || data == nil {
			return err
		}
		s.measure()
		s.tokens = append(s.tokens, token)
		if err := s.write(data); err != nil && s.r.repeatable {
			return err
		}
	}
}

func (s *relayedStream) measure() {
	if len(s.tokens) == 0 {
		s.g.opts.Meter.FirstToken(s.r.start)
	} else {
		s.g.opts.Meter.NextToken(s.last)
	}
	s.last = time.Now()
}

var errCallerGone = errors.New("the caller is gone")

// write sends one event to the caller.
func (s *relayedStream) write(data []byte) error {
	if s.claim != nil && len(s.copied) < maxCopied {
		s.copied = append(append(append(s.copied, dataPrefix...), data...), '\n', '\n')
	}
	if s.gone {
		return errCallerGone
	}
	// Errors of the buffer show at Flush.
	_, _ = s.w.Write(dataPrefix)
	_, _ = s.w.Write(data)
	_, _ = s.w.WriteString("\n\n")
	if err := s.w.Flush(); err != nil {
		s.gone = true
		if s.r.repeatable {
			s.r.cancel()
		}
		return errCallerGone
	}
	return nil
}

// resume opens an attempt that goes on after the last token that the caller has.
func (s *relayedStream) resume(failed *refusal) (*attempt, *refusal) {
	body, err := withTokens(s.r.body, s.tokens)
	if err != nil {
		return nil, failed
	}
	a, none := s.g.again(s.r, body, failed, s.choose, s.tried)
	if none != nil {
		return nil, none
	}
	if !isEventStream(a.response) || a.response.StatusCode != http.StatusOK {
		a.close()
		return nil, failed
	}
	s.g.opts.Meter.Retry(reason.RetryResumed)
	return a, nil
}

// withTokens returns the body with the tokens that the caller already has.
func withTokens(body []byte, tokens []string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(tokens)
	if err != nil {
		return nil, err
	}
	fields[resumeField] = encoded
	return json.Marshal(fields)
}

// finish ends the stream properly.
func (s *relayedStream) finish() {
	s.g.guard.Completed(s.r.guarded())
	_ = s.write(doneMark)
	s.g.settle(s.claim, reason.RanYes, intent.NewAnswer(http.StatusOK, "text/event-stream", s.copied))
}

// fail ends the stream with an event that says what became of the request. The
// event that marks a whole answer is left out.
func (s *relayedStream) fail(why *refusal) {
	why.ran = reason.RanUnknown
	s.g.opts.Meter.Refuse(why.reason)
	s.g.settle(s.claim, reason.RanUnknown, intent.Answer{})
	_ = s.write(why.body())
}
