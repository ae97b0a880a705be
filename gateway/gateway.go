package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"

	"quartzshelf.dev/admission"
	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/catalog"
	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/intent"
	"quartzshelf.dev/quarantine/guard"
	"quartzshelf.dev/routing"
	"quartzshelf.dev/telemetry"
)

const (
	// requestTimeout limits the time from the arrival of a request to the end of its answer.
	requestTimeout = 10 * time.Minute
	// maxAttempts is the maximum number of targets that one request is sent to.
	maxAttempts = 4
	// shortRetryAfter is the Retry-After value of refusals whose cause is expected to pass soon.
	// longRetryAfter is the value for causes that may last longer.
	shortRetryAfter = time.Second
	longRetryAfter  = 3 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 16 << 10
	// maxBufferedBytes limits the bytes of answers that a daemon buffers. One client account's share of
	// it holds an answer of bufferlimit.MaxAnswerBytes.
	maxBufferedBytes = 128 << 20
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 2 * time.Minute
	// bodyReadFactor is the size up to which request bodies are read, as a multiple of the maximum
	// accepted size. A body between the two sizes is refused with an answer that states the
	// maximum.
	bodyReadFactor = 2
	// DefaultMaxBodyBytes is the default limit of a request body, in bytes.
	DefaultMaxBodyBytes = 8 << 20
)

// Closed is the reason why the daemon accepts no requests at present.
type Closed struct {
	Reason  reason.Reason
	Message string
}

// Entry is the address of a daemon that accepts requests from callers.
type Entry struct {
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
}

// Options configures a Gateway.
type Options struct {
	Config  func() *config.View
	Catalog *catalog.Catalog
	Ledger  *intent.Ledger
	Limiter *admission.Limiter
	Meter   *telemetry.Meter
	// ClosedState returns nil if the daemon accepts requests. Otherwise it returns the reason why
	// it doesn't.
	ClosedState func() *Closed
	// IsLeaving reports whether this daemon has begun a planned shutdown. If so, answers ask
	// callers to close their connections.
	IsLeaving func() bool
	// Entries returns the daemon addresses that callers should use.
	Entries func() []Entry
	// EntriesValidUntil returns the time until which callers may cache a list of entries that they
	// receive at the given time.
	EntriesValidUntil func(now time.Time) time.Time
	// DaemonCount returns the number of daemons that share the load of requests.
	DaemonCount func() int
	// NewID returns a unique ID for a request.
	NewID func() string
	// MaxBodyBytes is the maximum size of a request body in bytes. If it is zero,
	// DefaultMaxBodyBytes applies.
	MaxBodyBytes int
	// Logger logs quarantined requests and rest periods of endpoints. If it is nil, nothing is
	// logged.
	Logger hclog.Logger
}

// Gateway serves the HTTP API for callers.
type Gateway struct {
	opts        Options
	app         *fiber.App
	upstream    *upstream
	inFlight    *routing.InFlightCounter
	retryBudget *retryBudget
	// bufferLimit limits the bytes of answers that are buffered.
	bufferLimit *bufferlimit.Limit
	// guard detects requests that crash endpoints, and quarantines them.
	guard *guard.Guard
	// rests holds the periods for which endpoints have asked to get no requests.
	rests *backpressure.RestPeriods
	// decisions holds the most recent routing decisions by request ID.
	decisions *lru.Cache[string, Decision]
	// lastRequestAt is when the last request arrived, in nanoseconds since the Unix epoch.
	lastRequestAt atomic.Int64
	done          chan struct{}
}

// New returns a gateway. Call Serve to accept requests.
func New(opts Options) *Gateway {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	g := &Gateway{
		opts: opts, upstream: newUpstream(), inFlight: routing.NewInFlightCounter(),
		retryBudget: newRetryBudget(), bufferLimit: bufferlimit.New(maxBufferedBytes), rests: backpressure.NewRestPeriods(), done: make(chan struct{}),
	}
	g.guard = guard.New(guard.Options{Dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, Meter: opts.Meter, Logger: opts.Logger})
	// lru.New fails only for sizes below 1.
	g.decisions, _ = lru.New[string, Decision](maxDecisions)
	opts.Meter.ExportGauge("held_bytes", func() float64 { return float64(g.bufferLimit.BytesInUse()) })
	g.app = g.newApp()
	return g
}

// InFlight returns the counter of requests in flight.
func (g *Gateway) InFlight() *routing.InFlightCounter { return g.inFlight }

// Done returns a channel that is closed when Serve has returned.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Serve accepts requests on l until Stop is called.
func (g *Gateway) Serve(l net.Listener) error {
	defer close(g.done)
	err := g.app.Listener(l)
	return failure.Wrap(failure.Unavailable, "serve callers", l.Addr().String(), err)
}

const (
	// quietTime is how long no request must have come before a gateway stops.
	quietTime         = 200 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// Drain waits until no request is in flight and none has come for quietTime. It reports whether that is so by
// the deadline. Requests that come meanwhile are still answered, so ClosedState should refuse them.
func (g *Gateway) Drain(deadline time.Time) bool {
	for {
		now := time.Now()
		quietAt := time.Unix(0, g.lastRequestAt.Load()).Add(quietTime)
		switch {
		case g.inFlight.Total() == 0 && !now.Before(quietAt):
			return true
		case !now.Before(deadline):
			return false
		}
		time.Sleep(drainPollInterval)
	}
}

// Stop closes the listener, waits up to timeout for requests in flight, and closes the remaining
// connections of callers. It then closes the idle connections to endpoints and waits for the
// quarantine's running checks of endpoints.
func (g *Gateway) Stop(timeout time.Duration) error {
	defer g.guard.Wait()
	defer g.upstream.close()
	return failure.Wrap(failure.Unavailable, "stop serving callers", "callers", g.app.ShutdownWithTimeout(timeout))
}

func (g *Gateway) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             bodyReadFactor * g.opts.MaxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		IdleTimeout:           callerIdleTimeout,
		ErrorHandler:          g.handleError,
		UnescapePath:          false,
	})
	app.Use(func(c *fiber.Ctx) error {
		g.lastRequestAt.Store(time.Now().UnixNano())
		if g.opts.IsLeaving() {
			c.Context().SetConnectionClose()
		}
		return c.Next()
	})
	app.Post("/v1/chat/completions", g.handleChatCompletion)
	app.Post("/v1/completions", g.handleTextCompletion)
	app.Get("/v1/models", g.listModels)
	app.Get("/v1/entries", g.listEntries)
	for path, method := range map[string]string{
		"/v1/chat/completions": http.MethodPost, "/v1/completions": http.MethodPost,
		"/v1/models": http.MethodGet, "/v1/entries": http.MethodGet,
	} {
		app.All(path, func(c *fiber.Ctx) error { return g.refuseMethod(c, method) })
	}
	app.All("/services/:name", g.handleServiceCall)
	app.All("/services/:name/*", g.handleServiceCall)
	app.Use(func(c *fiber.Ctx) error {
		return g.writeRefusal(c, refuse(reason.NotFound, "there is nothing at %s %s", c.Method(), c.Path()))
	})
	return app
}

// refuseMethod answers 405 with an Allow header.
func (g *Gateway) refuseMethod(c *fiber.Ctx, method string) error {
	c.Set(fiber.HeaderAllow, method)
	return g.writeRefusal(c, refuse(reason.WrongMethod, "%s takes %s, not %s", c.Path(), method, c.Method()))
}

// handleError answers requests that the HTTP library has rejected.
func (g *Gateway) handleError(c *fiber.Ctx, err error) error {
	var f *fiber.Error
	if errors.As(err, &f) && f.Code == fiber.StatusRequestEntityTooLarge {
		return g.writeRefusal(c, refuse(reason.BodyTooLarge, "the body is longer than %d bytes", g.opts.MaxBodyBytes))
	}
	return g.writeRefusal(c, refuse(reason.BadRequest, "%v", err))
}

// writeRefusal counts a refusal in the metrics and sends it as the answer.
func (g *Gateway) writeRefusal(c *fiber.Ctx, r *refusal) error {
	g.opts.Meter.CountRefusal(r.reason)
	return r.write(c)
}

// modelList is the answer to a request for the models, in the format of the OpenAI API.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the deployments that the caller may use.
func (g *Gateway) listModels(c *fiber.Ctx) error {
	account, refused := g.authenticate(c)
	if refused != nil {
		return g.writeRefusal(c, refused)
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, d := range g.opts.Config().Deployments() {
		if d.Allows(account) {
			list.Data = append(list.Data, modelEntry{ID: d.Name(), Object: "model", OwnedBy: "quartzshelf"})
		}
	}
	return c.JSON(list)
}

// entryList is the answer to a request for daemon addresses.
type entryList struct {
	Entries []Entry `json:"entries"`
	// KeepSeconds is the number of seconds for which the caller may cache the list.
	KeepSeconds float64 `json:"keep_seconds"`
}

// listEntries answers with the daemon addresses that callers should use.
func (g *Gateway) listEntries(c *fiber.Ctx) error {
	now := time.Now()
	return c.JSON(entryList{
		Entries:     g.opts.Entries(),
		KeepSeconds: g.opts.EntriesValidUntil(now).Sub(now).Seconds(),
	})
}
