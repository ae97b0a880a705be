package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/quarantine"
)

// Headers of requests from callers.
const (
	headerKey        = "Idempotency-Key"
	headerRepeatable = "Quartzshelf-Repeatable"
	valueNo          = "no"
	valueYes         = "yes"
	maxKey           = 255
)

// request is a caller's request. It holds copies, so it outlives the handler.
type request struct {
	id      string
	account *config.Account
	method  string
	path    string
	header  http.Header
	body    []byte
	// key is the caller's key, empty for none.
	key string
	// repeatable tells whether the request may be run more than once.
	repeatable bool
	start      time.Time
	// deadline is when the request is given up.
	deadline time.Time
	// ctx ends at the deadline or, if the request may be repeated, when the
	// caller goes away.
	ctx    context.Context
	cancel context.CancelFunc
	// priority is the account's.
	priority int
	// mayHaveRan tells that some attempt was sent and may have run.
	mayHaveRan bool

	fingerprintOnce sync.Once
	fingerprintHeld quarantine.Fingerprint
}

// truthful returns the refusal with what it may say of the whole request: an
// attempt that was refused says nothing of those before it.
func (r *request) truthful(f *refusal) *refusal {
	if f.ran != reason.RanNo {
		r.mayHaveRan = true
	} else if r.mayHaveRan {
		f.ran = reason.RanUnknown
	}
	return f
}

// newRequest copies a caller's request and checks who sent it.
func (g *Gateway) newRequest(c *fiber.Ctx) (*request, *refusal) {
	g.opts.Meter.Request()
	if why := g.opts.Gate(); why != nil {
		return nil, refuse(why.Reason, "%s", why.Message).after(retrySoon)
	}
	account, bad := g.authenticate(c)
	if bad != nil {
		return nil, bad
	}
	r := &request{
		id:       g.opts.NewID(),
		account:  account,
		method:   strings.Clone(c.Method()),
		path:     strings.Clone(c.OriginalURL()),
		header:   make(http.Header),
		body:     append([]byte(nil), c.Body()...),
		key:      strings.Clone(c.Get(headerKey)),
		start:    time.Now(),
		priority: account.Priority(),
	}
	r.deadline = r.start.Add(requestTimeout)
	for name, values := range c.GetReqHeaders() {
		if !isHopHeader(name) {
			for _, v := range values {
				r.header.Add(strings.Clone(name), strings.Clone(v))
			}
		}
	}
	if len(r.body) > g.opts.MaxBody {
		return nil, refuse(reason.BodyTooLarge, "the body is longer than %d bytes", g.opts.MaxBody)
	}
	if len(r.key) > maxKey || strings.ContainsAny(r.key, "\x00\n") {
		return nil, refuse(reason.KeyInvalid, "%s must be at most %d printable characters", headerKey, maxKey)
	}
	return r, nil
}

func (g *Gateway) authenticate(c *fiber.Ctx) (*config.Account, *refusal) {
	scheme, key, _ := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, refuse(reason.Unauthorized, "a bearer key is required in the Authorization header")
	}
	account, ok := g.opts.Config().AccountByKey(strings.TrimSpace(key))
	if !ok {
		return nil, refuse(reason.Unauthorized, "the bearer key is not known")
	}
	return account, nil
}

// begin gives the request its context. A request that must not be repeated
// goes on when its caller has gone, so that its outcome becomes known.
func (r *request) begin(c *fiber.Ctx) {
	r.ctx, r.cancel = context.WithDeadline(context.Background(), r.deadline)
	if r.repeatable {
		watchHangup(r.ctx, c.Context().Conn(), r.cancel)
	}
}

// hopHeaders belong to one connection or to this system and are not passed on.
var hopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Engine-Request", "Engine-Assignment", "Engine-Started", "Engine-Priority", headerKey,
}

func isHopHeader(name string) bool {
	for _, h := range hopHeaders {
		if strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}
