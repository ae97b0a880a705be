package gateway

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/intent"
)

const (
	// detachedTimeout bounds work for the ledger after a request has ended.
	detachedTimeout = 2 * time.Second
	// maxCopied bounds the copy of a stream kept for a second caller, in bytes.
	maxCopied = 1 << 20
)

// detached returns a context that outlives the request.
func (g *Gateway) detached() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), detachedTimeout)
}

// claim asks the ledger for the caller's key.
func (g *Gateway) claim(r *request) (intent.Claim, *refusal) {
	key := intent.KeyOf(r.account.Name(), r.key)
	claim, err := g.opts.Ledger.Take(r.ctx, key, intent.BodyHash(r.method, r.path, r.body))
	if err != nil {
		return intent.Claim{}, refuse(reason.IntentLog, "the request needs the log to run at most once: %v", err).after(retryLater)
	}
	return claim, nil
}

// answerClaimed answers a request whose key another attempt holds.
func (g *Gateway) answerClaimed(c *fiber.Ctx, r *request, claim intent.Claim) error {
	entry := claim.Entry()
	if entry.Body() != intent.BodyHash(r.method, r.path, r.body) {
		return g.refuse(c, refuse(reason.KeyMismatch, "the key was used before with another request"))
	}
	ctx, cancel := g.detached()
	defer cancel()
	outcome := g.opts.Ledger.Outcome(ctx, entry)
	switch outcome.Phase() {
	case intent.PhaseDone:
		c.Set(headerReplayed, "true")
		return writeAnswer(c, outcome.Answer())
	case intent.PhasePending:
		return g.refuse(c, refuse(reason.KeyPending, "the request is being run for an earlier caller").
			withRan(reason.RanUnknown).after(retrySoon))
	case intent.PhaseReleased:
		g.opts.Ledger.ReleaseFor(intent.KeyOf(r.account.Name(), r.key), entry.Attempt())
		return g.refuse(c, refuse(reason.KeyPending, "an earlier attempt was not run; its key is being given back").
			after(retrySoon))
	}
	if _, done := entry.Done(); done {
		return g.refuse(c, refuse(reason.KeyHolderGone, "the request ran; its answer is no longer kept").
			withRan(reason.RanYes))
	}
	return g.refuse(c, refuse(reason.KeyHolderGone, "the daemon that ran the request does not know its outcome or cannot be reached").
		withRan(reason.RanUnknown).after(retryLater))
}

// writeAnswer sends an answer of an endpoint to the caller.
func writeAnswer(c *fiber.Ctx, a intent.Answer) error {
	if a.ContentType() != "" {
		c.Set(fiber.HeaderContentType, a.ContentType())
	}
	return c.Status(a.Status()).Send(a.Body())
}
