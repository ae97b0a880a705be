package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/quarantine"
)

// Headers of requests from callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "Quartzshelf-Repeatable"
	valueNo              = "no"
	valueYes             = "yes"
	maxKeyLength         = 255
)

// request is a caller's request. It holds copies of the data because fiber reuses its buffers after
// the handler has returned.
type request struct {
	id      string
	account *config.Account
	method  string
	path    string
	header  http.Header
	body    []byte
	// key is the idempotency key; empty if there is none.
	key string
	// repeatable is set if the request may run more than once.
	repeatable bool
	arrivedAt  time.Time
	// deadline is when the gateway cancels the request.
	deadline time.Time
	// ctx ends at the deadline. For a repeatable request, it also ends when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// priority is the priority of the client account.
	priority int
	// memory accounts for the bytes buffered for the request's answer.
	memory *bufferlimit.Memory
	// maybeRan is set once an attempt may have run the request.
	maybeRan bool

	fingerprintOnce   sync.Once
	cachedFingerprint quarantine.Fingerprint
}

// adjustRan adjusts the refusal of one attempt to the whole request. If an earlier attempt may have
// run the request, "not run" in the refusal becomes "unknown". adjustRan also records whether this
// attempt may have run the request.
func (r *request) adjustRan(f *refusal) *refusal {
	if f.ran != reason.RanNo {
		r.maybeRan = true
	} else if r.maybeRan {
		f.ran = reason.RanUnknown
	}
	return f
}

// newRequest authenticates a caller's request, copies it, and checks its size and idempotency key.
// It refuses all requests while the daemon accepts none.
func (g *Gateway) newRequest(c *fiber.Ctx) (*request, *refusal) {
	g.opts.Meter.CountRequest()
	if why := g.opts.ClosedState(); why != nil {
		return nil, refuse(why.Reason, "%s", why.Message).withRetryAfter(shortRetryAfter)
	}
	account, refused := g.authenticate(c)
	if refused != nil {
		return nil, refused
	}
	r := &request{
		id:        g.opts.NewID(),
		account:   account,
		method:    strings.Clone(c.Method()),
		path:      strings.Clone(c.OriginalURL()),
		header:    make(http.Header),
		body:      append([]byte(nil), c.Body()...),
		key:       strings.Clone(c.Get(headerIdempotencyKey)),
		arrivedAt: time.Now(),
		priority:  account.Priority(),
		memory:    bufferlimit.NewMemory(g.bufferLimit, account.Name()),
	}
	r.deadline = r.arrivedAt.Add(requestTimeout)
	for name, values := range c.GetReqHeaders() {
		if !isDroppedHeader(name) {
			for _, v := range values {
				r.header.Add(strings.Clone(name), strings.Clone(v))
			}
		}
	}
	if len(r.body) > g.opts.MaxBodyBytes {
		return nil, refuse(reason.BodyTooLarge, "the body is longer than %d bytes", g.opts.MaxBodyBytes)
	}
	if len(r.key) > maxKeyLength || strings.ContainsAny(r.key, "\x00\n") {
		return nil, refuse(reason.KeyInvalid, "%s must be at most %d printable characters", headerIdempotencyKey, maxKeyLength)
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

// startContext sets the request's context. A request that must not be repeated continues after its
// caller has disconnected, so that its outcome can be recorded.
func (r *request) startContext(c *fiber.Ctx) {
	r.ctx, r.cancel = context.WithDeadline(context.Background(), r.deadline)
	if r.repeatable {
		watchDisconnect(r.ctx, c.Context().Conn(), r.cancel)
	}
}

// droppedHeaders are the headers that are not forwarded to endpoints. These are hop-by-hop headers,
// credentials and headers that the gateway sets itself.
var droppedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Engine-Request", "Engine-Assignment", "Engine-Started", "Engine-Priority", headerIdempotencyKey,
}

func isDroppedHeader(name string) bool {
	for _, h := range droppedHeaders {
		if strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}
