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

// resumeTokensField is the request field with the tokens that the caller has already received. The
// engine continues the answer after them.
const resumeTokensField = "resume"

func (g *Gateway) handleChatCompletion(c *fiber.Ctx) error { return g.handleCompletion(c, true) }

func (g *Gateway) handleTextCompletion(c *fiber.Ctx) error { return g.handleCompletion(c, false) }

func (g *Gateway) handleCompletion(c *fiber.Ctx, chat bool) error {
	r, refused := g.newRequest(c)
	if refused != nil {
		return g.writeRefusal(c, refused)
	}
	c.Set(headerRequest, r.id)
	parsed, refused := parseCompletion(r.body)
	if refused != nil {
		return g.writeRefusal(c, refused)
	}
	deployment, ok := g.opts.Config().Deployment(parsed.Model)
	if !ok || !deployment.Allows(r.account) {
		return g.writeRefusal(c, refuse(reason.UnknownModel, "the model %q does not exist or is not open to this account", parsed.Model))
	}
	if refused := parsed.validate(chat); refused != nil {
		return g.writeRefusal(c, refused)
	}
	r.repeatable = r.key == "" && r.header.Get(headerRepeatable) != valueNo
	if refused := g.admit(r, deployment); refused != nil {
		return g.writeRefusal(c, refused)
	}
	g.retryBudget.addRequest()
	r.startContext(c)
	choose := g.chooseReplica(r, deployment, parsed.routingPrompt())
	return g.serveRequest(c, r, choose, parsed.Stream)
}

// serveRequest sends the request to a target and relays the answer. If the request has an
// idempotency key and must not be repeated, serveRequest first claims the key. The claim ensures
// that the request runs at most once.
func (g *Gateway) serveRequest(c *fiber.Ctx, r *request, choose chooser, streamed bool) error {
	if r.repeatable || r.key == "" {
		return g.relayAnswer(c, r, choose, streamed, nil)
	}
	claim, refused := g.claimKey(r)
	if refused != nil {
		r.cancel()
		return g.writeRefusal(c, refused)
	}
	if !claim.Won() {
		r.cancel()
		return g.answerDuplicate(c, r, claim)
	}
	return g.relayAnswer(c, r, choose, streamed, &claim)
}

// relayAnswer sends the request and relays the answer to the caller. It records the outcome in the
// intent ledger unless claim is nil.
func (g *Gateway) relayAnswer(c *fiber.Ctx, r *request, choose chooser, streamed bool, claim *intent.Claim) error {
	tried := make(map[string]bool)
	maySend := func(now time.Time) bool { return claim == nil || claim.MaySend(now) }
	a, refused := g.openAttempt(r, r.body, choose, tried, maySend)
	if refused != nil {
		r.cancel()
		g.recordOutcome(claim, refused.ran, intent.Answer{})
		return g.writeRefusal(c, refused)
	}
	c.Set(headerReplica, a.target.id)
	if streamed && isEventStream(a.response) && a.response.StatusCode == http.StatusOK {
		g.relayStream(c, r, a, choose, tried, claim)
		return nil
	}
	return g.relayBuffered(c, r, a, choose, tried, claim)
}

// relayBuffered reads the whole answer before it sends any of it to the caller. The request can
// therefore be retried if the answer is incomplete.
func (g *Gateway) relayBuffered(c *fiber.Ctx, r *request, a *attempt, choose chooser, tried map[string]bool, claim *intent.Claim) error {
	defer r.cancel()
	for {
		body, err := readAll(a.response, a.target.address)
		a.close()
		if err == nil {
			g.guard.Completed(r.guardRequest())
			answer := intent.NewAnswer(a.response.StatusCode, a.response.Header.Get(fiber.HeaderContentType), body)
			g.recordOutcome(claim, reason.RanYes, answer)
			c.Set(headerReplica, a.target.id)
			return writeAnswer(c, answer)
		}
		g.reportBrokenAttempt(r, a.target, err)
		attemptRefusal := refusalFromError(err)
		var refused *refusal
		if a, refused = g.reopenAttempt(r, r.body, attemptRefusal, choose, tried); refused != nil {
			g.recordOutcome(claim, attemptRefusal.ran, intent.Answer{})
			return g.writeRefusal(c, refused)
		}
	}
}

// reopenAttempt retries a request whose attempt failed while its answer was being read. If the
// request can't be retried, it returns a refusal.
func (g *Gateway) reopenAttempt(r *request, body []byte, attemptRefusal *refusal, choose chooser, tried map[string]bool) (*attempt, *refusal) {
	attemptRefusal = r.adjustRan(attemptRefusal)
	if !r.repeatable || len(tried) >= maxAttempts || r.ctx.Err() != nil || !g.retryBudget.takeRetry() {
		return nil, attemptRefusal
	}
	g.opts.Meter.CountRetry(reason.RetryBroken)
	return g.openAttempt(r, body, choose, tried, func(time.Time) bool { return true })
}

// recordOutcome records in the intent ledger whether the request ran. It does nothing for a nil
// claim.
func (g *Gateway) recordOutcome(claim *intent.Claim, ran reason.Ran, answer intent.Answer) {
	if claim == nil {
		return
	}
	switch ran {
	case reason.RanYes:
		g.opts.Ledger.Finish(*claim, answer)
	case reason.RanNo:
		ctx, cancel := g.detachedContext()
		defer cancel()
		g.opts.Ledger.Release(ctx, *claim)
	default:
		g.opts.Ledger.MarkUnknown(*claim)
	}
}

// relayStream relays events as they arrive. The stream is written after the handler has returned.
func (g *Gateway) relayStream(c *fiber.Ctx, r *request, a *attempt, choose chooser, tried map[string]bool, claim *intent.Claim) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.cancel()
		s := &streamRelay{g: g, r: r, w: w, choose: choose, tried: tried, claim: claim, lastTokenAt: r.arrivedAt}
		s.run(a)
	})
}

// streamRelay relays one streamed answer to a caller. If an attempt fails, another attempt
// continues the answer.
type streamRelay struct {
	g      *Gateway
	r      *request
	w      *bufio.Writer
	choose chooser
	tried  map[string]bool
	claim  *intent.Claim
	// tokens holds the tokens received so far, from all attempts.
	tokens []string
	// sentEvents is a copy of the answer's events for later requests with the same idempotency key.
	// No event is added once it has reached maxStoredStreamBytes.
	sentEvents []byte
	// lastTokenAt is when the last token arrived. Before the first token, it is when the request
	// arrived.
	lastTokenAt time.Time
	// callerGone is set once a write to the caller has failed.
	callerGone bool
}

// run relays the events of attempt a. If a fails, run continues the answer with further attempts.
func (s *streamRelay) run(a *attempt) {
	for {
		err := s.relayEvents(a)
		if err == nil {
			s.complete()
			return
		}
		if s.callerGone && s.r.repeatable {
			return
		}
		s.g.reportBrokenAttempt(s.r, a.target, err)
		attemptRefusal := refusalFromError(&sendError{maybeSent: true, cause: err})
		next, refused := s.resume(attemptRefusal)
		if refused != nil {
			s.fail(refused)
			return
		}
		a = next
	}
}

// relayEvents relays the events of one attempt. It returns nil at the end-of-stream marker.
func (s *streamRelay) relayEvents(a *attempt) error {
	events := newTokenReader(a, s.r.id, len(s.tokens))
	defer events.close()
	for {
		data, token, err := events.readToken()
		if err != nil || data == nil {
			return err
		}
		s.recordLatency()
		s.tokens = append(s.tokens, token)
		if err := s.writeEvent(data); err != nil && s.r.repeatable {
			return err
		}
	}
}

func (s *streamRelay) recordLatency() {
	if len(s.tokens) == 0 {
		s.g.opts.Meter.RecordFirstToken(s.r.arrivedAt)
	} else {
		s.g.opts.Meter.RecordNextToken(s.lastTokenAt)
	}
	s.lastTokenAt = time.Now()
}

var errCallerGone = errors.New("the caller has disconnected")

// writeEvent sends one event to the caller. It returns errCallerGone if the caller has
// disconnected.
func (s *streamRelay) writeEvent(data []byte) error {
	if s.claim != nil && len(s.sentEvents) < maxStoredStreamBytes {
		s.sentEvents = append(append(append(s.sentEvents, dataPrefix...), data...), '\n', '\n')
	}
	if s.callerGone {
		return errCallerGone
	}
	// bufio.Writer keeps the first error and returns it from Flush.
	_, _ = s.w.Write(dataPrefix)
	_, _ = s.w.Write(data)
	_, _ = s.w.WriteString("\n\n")
	if err := s.w.Flush(); err != nil {
		s.callerGone = true
		if s.r.repeatable {
			s.r.cancel()
		}
		return errCallerGone
	}
	return nil
}

// resume opens another attempt that continues after the last token received. If that isn't
// possible, it returns a refusal.
func (s *streamRelay) resume(attemptRefusal *refusal) (*attempt, *refusal) {
	body, err := withResumeTokens(s.r.body, s.tokens)
	if err != nil {
		return nil, attemptRefusal
	}
	a, refused := s.g.reopenAttempt(s.r, body, attemptRefusal, s.choose, s.tried)
	if refused != nil {
		return nil, refused
	}
	if !isEventStream(a.response) || a.response.StatusCode != http.StatusOK {
		a.close()
		return nil, attemptRefusal
	}
	s.g.opts.Meter.CountRetry(reason.RetryResumed)
	return a, nil
}

// withResumeTokens returns the request body with resumeTokensField set to the tokens.
func withResumeTokens(body []byte, tokens []string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(tokens)
	if err != nil {
		return nil, err
	}
	fields[resumeTokensField] = encoded
	return json.Marshal(fields)
}

// complete sends the end-of-stream marker and records the answer.
func (s *streamRelay) complete() {
	s.g.guard.Completed(s.r.guardRequest())
	_ = s.writeEvent(doneMarker)
	s.g.recordOutcome(s.claim, reason.RanYes, intent.NewAnswer(http.StatusOK, "text/event-stream", s.sentEvents))
}

// fail sends an error event as the last event of the stream. It does not send the end-of-stream
// marker.
func (s *streamRelay) fail(refused *refusal) {
	refused.ran = reason.RanUnknown
	s.g.opts.Meter.CountRefusal(refused.reason)
	s.g.recordOutcome(s.claim, reason.RanUnknown, intent.Answer{})
	_ = s.writeEvent(refused.body())
}
