package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/intent"
)

const (
	// ledgerTimeout limits calls to the intent ledger that must continue if the request is
	// canceled. The ledger ensures that requests with the same idempotency key run at most once.
	ledgerTimeout = 2 * time.Second
	// maxStoredStreamBytes limits the copy of a streamed answer that is kept for later requests
	// with the same idempotency key. Once the copy has this size in bytes, no further event is
	// added.
	maxStoredStreamBytes = 1 << 20
)

// newDetachedContext returns a context that doesn't depend on the request and ends after
// ledgerTimeout.
func (g *Gateway) newDetachedContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), ledgerTimeout)
}

// claimKey claims the request's idempotency key in the intent ledger. The returned claim tells
// whether this request won the key and may be sent. claimKey returns a refusal if the ledger's log
// is not available.
func (g *Gateway) claimKey(r *request) (intent.Claim, *refusal) {
	key := intent.KeyOf(r.account.Name(), r.key)
	claim, err := g.opts.Ledger.ClaimKey(r.ctx, key, intent.BodyHash(r.method, r.path, r.body))
	if err != nil {
		return intent.Claim{}, refuse(reason.IntentLogUnavailable, "the request needs the log to run at most once: %v", err).withRetryAfter(longRetryAfter)
	}
	return claim, nil
}

// answerDuplicate answers a request whose idempotency key is claimed by another attempt. It sends
// the stored answer if there is one, and otherwise a refusal.
func (g *Gateway) answerDuplicate(c *fiber.Ctx, r *request, claim intent.Claim) error {
	entry := claim.Entry()
	if entry.Body() != intent.BodyHash(r.method, r.path, r.body) {
		return g.writeRefusal(c, refuse(reason.KeyBodyMismatch, "the key was used before with another request"))
	}
	ctx, cancel := g.newDetachedContext()
	defer cancel()
	outcome := g.opts.Ledger.Outcome(ctx, entry)
	switch outcome.Phase() {
	case intent.PhaseDone:
		c.Set(headerReplayed, "true")
		return writeAnswer(c, outcome.Answer())
	case intent.PhasePending:
		return g.writeRefusal(c, refuse(reason.KeyPending, "the request is being run for an earlier caller").
			withRan(reason.RanUnknown).withRetryAfter(shortRetryAfter))
	case intent.PhaseReleased:
		g.opts.Ledger.ReleaseFor(intent.KeyOf(r.account.Name(), r.key), entry.Attempt())
		return g.writeRefusal(c, refuse(reason.KeyPending, "an earlier attempt was not run; its key is being given back").
			withRetryAfter(shortRetryAfter))
	}
	if _, done := entry.Done(); done {
		return g.writeRefusal(c, refuse(reason.KeyHolderGone, "the request ran; its answer is no longer kept").
			withRan(reason.RanYes))
	}
	return g.writeRefusal(c, refuse(reason.KeyHolderGone, "the daemon that ran the request does not know its outcome or cannot be reached").
		withRan(reason.RanUnknown).withRetryAfter(longRetryAfter))
}

// writeHeldAnswer sends an endpoint's answer to the caller, and releases its memory once it is sent.
func writeHeldAnswer(c *fiber.Ctx, a intent.Answer, memory *bufferlimit.Memory) error {
	if a.ContentType() != "" {
		c.Set(fiber.HeaderContentType, a.ContentType())
	}
	body := a.Body()
	c.Status(a.Status()).Context().SetBodyStream(&heldAnswer{Reader: bytes.NewReader(body), memory: memory}, len(body))
	return nil
}

// heldAnswer is the body of an answer whose memory is released when the HTTP library closes it.
type heldAnswer struct {
	*bytes.Reader
	memory *bufferlimit.Memory
}

// Close implements io.Closer.
func (h *heldAnswer) Close() error {
	h.memory.Release()
	return nil
}

// writeAnswer sends an endpoint's answer to the caller.
func writeAnswer(c *fiber.Ctx, a intent.Answer) error {
	if a.ContentType() != "" {
		c.Set(fiber.HeaderContentType, a.ContentType())
	}
	return c.Status(a.Status()).Send(a.Body())
}
