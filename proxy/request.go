package proxy

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
)

// request is a caller's request while the daemon handles it.
type request struct {
	id     string
	method string
	target string
	host   string
	header http.Header
	body   []byte
	// memory accounts for the bytes buffered for the request's body and answer.
	memory *bufferlimit.Memory
	route  *fleet.Route
	// configVersion is the version of the configuration in force when the request arrived.
	configVersion int64
	service       string
	// engine is nil for services without an engine.
	engine *fleet.Engine
	model  string
	// promptTokens is the number of prompt tokens stated by the caller.
	promptTokens int
	tenant       *fleet.Tenant
	arrived      time.Time
	deadline     time.Time
	// waitedBefore is how long the caller had waited in earlier attempts, estimated from its
	// deadline.
	waitedBefore time.Duration
	ctx          context.Context
	cancel       context.CancelFunc
	// cancelCause cancels ctx for a given cause.
	cancelCause context.CancelCauseFunc

	// sends is the number of attempts that may have run at a worker, rejections the number of
	// attempts that certainly did not run. sendsElsewhere is how many of the sends came before a peer
	// forwarded the request to this daemon.
	sends          int
	sendsElsewhere int
	rejections     int
	triedReplicas  map[string]bool
	// triedPeers holds the IDs of the peers at which attempts failed. isForwarded reports whether
	// a peer forwarded the request to this daemon.
	triedPeers  map[string]bool
	isForwarded bool
	// failedHeads holds the heads of the replicas at which attempts failed, except for rejections
	// and silence of a single stream. Replicas near these heads may have failed as well.
	failedHeads []*fleet.Worker
	// chosenInFlight is the number of requests that were in flight over all daemons at the replica
	// chosen last.
	chosenInFlight float64
	// passedOver is a log text that counts, by cause, the replicas that a choice excluded or ranked
	// lower. It is from the last choice that did so.
	passedOver string
	// sendBy is the time by which the attempt must be sent; zero for any time. exhaustedBound names
	// the bound (warm-up, limit or rest) that last refused a token.
	sendBy         time.Time
	exhaustedBound reason.Reason
	// budgetAtRefusal is a log text that describes the retry budget when it refused a retry of this
	// request; empty if it did not.
	budgetAtRefusal string
	// lastErr is the error of the last failed attempt. chosenAt is when a replica was last chosen.
	lastErr  error
	chosenAt time.Time

	// stopCheck is the last check of whether this daemon, which stops, accepts the request; nil if there was none.
	stopCheck *stopCheck
	// isSuspected reports whether one more crash would quarantine the request.
	isSuspected bool

	fingerprintOnce   sync.Once
	hasFingerprint    atomic.Bool
	cachedFingerprint quarantine.Fingerprint
	// prefix names the parts of the prompt as the caller stated them.
	prefix      string
	partsOnce   sync.Once
	cachedParts []quarantine.Part
}

// mayHaveRun reports whether any worker may have started the request since it came to this daemon. A peer that
// forwarded it counts its own attempts.
func (c *request) mayHaveRun() bool { return c.sends > c.sendsElsewhere }

// correctStatus sets the status to 502 if the refusal wrongly promises that the request did not
// run. It also sets a missing cause to the error of the last failed attempt, and the reason if the daemon
// ends.
func (c *request) correctStatus(f *refusal) *refusal {
	if c.isEndedByStop() {
		f.reason = reason.Stopping
	}
	if f.cause == nil {
		f.cause = c.lastErr
	}
	if f.promisesNotRun() && c.mayHaveRun() {
		f.status, f.retryAfter = http.StatusBadGateway, 0
	}
	return f
}

// maxRequestHeaders limits the headers of a request, each of which takes memory beyond its bytes.
const maxRequestHeaders = 128

// accept finds the route of a request, authenticates the caller, reads the body and sets the
// deadline. It returns a refusal if one of these steps fails.
func (p *Proxy) accept(h *http.Request, controller *http.ResponseController) (*request, *refusal) {
	p.opts.CheckSuspension()
	config := p.opts.Config()
	if config == nil {
		return nil, newUnavailable(reason.Starting, "no configuration is known yet", retryUninformed)
	}
	if countHeaders(h.Header) > maxRequestHeaders {
		return nil, newRefusal(http.StatusRequestHeaderFieldsTooLarge, reason.BadRequest, "the request has too many headers")
	}
	c := &request{
		method: h.Method, target: h.RequestURI, host: h.Host, header: h.Header,
		id: h.Header.Get(p.opts.Names.AttemptID), arrived: time.Now(), triedReplicas: make(map[string]bool), triedPeers: make(map[string]bool),
		memory: bufferlimit.NewMemory(p.opts.BufferLimit, ""),
	}
	c.readForwarded()
	path, _, _ := strings.Cut(c.target, "?")
	route, ok := config.Route(c.host, path)
	if !ok {
		return c, newRefusal(http.StatusNotFound, reason.NotFound, "no route leads there")
	}
	c.route, c.configVersion = route, config.Version()
	if refused := p.authenticate(c, config); refused != nil {
		return c, refused
	}
	p.setCallerDeadlines(controller, c.arrived, route.Timeout)
	p.setDeadline(c, h)
	if refused := p.checkShutdown(c); refused != nil {
		return c, refused
	}
	bodyRefusal := p.readBody(c, h, config.Limits())
	p.clearReadDeadline(controller)
	if bodyRefusal != nil {
		return c, bodyRefusal
	}
	c.service = route.Choose(p.random())
	if s, ok := config.Service(c.service); ok {
		c.engine = s.Engine
	}
	if c.engine != nil {
		c.model = h.Header.Get(p.opts.Names.Model)
		c.promptTokens = promptTokens(h.Header.Get(p.opts.Names.Usage))
		c.prefix = h.Header.Get(p.opts.Names.Prefix)
	}
	p.setContext(c, h)
	return c, nil
}

// countHeaders returns the number of header lines.
func countHeaders(header http.Header) int {
	n := 0
	for _, values := range header {
		n += len(values)
	}
	return n
}

// authenticate sets the tenant from the request's key. It returns a refusal if the key is unknown,
// or if it may have been revoked. Public routes need no key.
func (p *Proxy) authenticate(c *request, config *fleet.Config) *refusal {
	key := c.header.Get(p.opts.Names.Key)
	if c.route.Public || !config.NeedsKeys() {
		return nil
	}
	if p.IsConfigStale(time.Now()) {
		return newUnavailable(reason.Isolated, "it is not certain which keys are in force", retryUninformed)
	}
	tenant, ok := config.Tenant(key)
	if !ok {
		return newRefusal(http.StatusUnauthorized, reason.Unauthorized, "the key is not known")
	}
	c.tenant = tenant
	return nil
}

// IsConfigStale reports whether the configuration was last confirmed so long ago that this daemon
// may have missed the revocation of a key.
func (p *Proxy) IsConfigStale(now time.Time) bool {
	return p.opts.MaxConfigAge > 0 && now.Sub(p.opts.ConfigConfirmedAt()) > p.opts.MaxConfigAge
}

// readBody reads the request's body. It returns a refusal if the body exceeds the configured limit,
// if the daemon's memory is exhausted, or if reading fails.
func (p *Proxy) readBody(c *request, h *http.Request, limits fleet.Limits) *refusal {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if h.ContentLength > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, "the body is too long")
	}
	c.memory.SetAccount(accountName(c.tenant))
	body, err := c.memory.Read(h.Body, limit, bufferlimit.FailWhenFull)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, reason.BadRequest, "the body did not come in time")
	case errors.Is(err, bufferlimit.ErrFull):
		return newUnavailable(reason.MemoryBound, "this daemon holds as much as it may", retryBusy)
	case err != nil:
		return newRefusal(http.StatusBadRequest, reason.BadRequest, "the body was not read whole")
	}
	if int64(len(body)) > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, "the body is too long")
	}
	c.body = body
	return nil
}

// accountName returns the account to which memory is charged; all callers without an account
// share one.
func accountName(tenant *fleet.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// setDeadline sets the request's deadline, which is the earlier one of its route's and its caller's.
func (p *Proxy) setDeadline(c *request, h *http.Request) {
	c.deadline = c.arrived.Add(defaultTimeout)
	if c.route.Timeout > 0 {
		c.deadline = c.arrived.Add(c.route.Timeout)
	}
	if ms, err := strconv.ParseFloat(h.Header.Get(p.opts.Names.Deadline), 64); err == nil && ms >= 0 {
		callerDeadline := c.arrived.Add(time.Duration(ms * float64(time.Millisecond)))
		if callerDeadline.Before(c.deadline) {
			c.deadline = callerDeadline
		}
	}
}

// setContext sets the request's context. A request that must not be repeated continues after its caller has
// disconnected.
func (p *Proxy) setContext(c *request, h *http.Request) {
	parent := h.Context()
	if c.route.Kind == fleet.NonIdempotent {
		parent = context.WithoutCancel(parent)
	}
	c.waitedBefore = estimateWaited(p.callerTimeouts, c.route, c.deadline.Sub(c.arrived), c.arrived)
	parent, c.cancelCause = context.WithCancelCause(parent)
	c.ctx, c.cancel = context.WithDeadline(parent, c.deadline)
}

// promptTokens returns the number of prompt tokens, which is the first of the comma-separated
// numbers in a usage header. It returns 0 if that number is missing or invalid.
func promptTokens(usage string) int {
	first, _, _ := strings.Cut(usage, ",")
	n, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardedHeaders returns a copy without the headers that apply to a single connection.
func forwardedHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, field := range header.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// messageFor returns the request as sent to a worker.
func (p *Proxy) messageFor(c *request, worker *fleet.Worker, lastEvent string) *message {
	names := p.opts.Names
	header := forwardedHeaders(c.header)
	for _, name := range []string{names.Key, names.Tenant, names.Instance, names.Priority, names.Deadline} {
		header.Del(name)
	}
	header.Set(names.Instance, worker.ID)
	priority := c.route.Priority
	if c.tenant != nil {
		header.Set(names.Tenant, c.tenant.Name)
		if c.tenant.HasPriority {
			priority = c.tenant.Priority
		}
	}
	if c.engine != nil {
		header.Set(names.Priority, strconv.Itoa(min(max(priority, 0), lowestPriority)))
	}
	if lastEvent != "" {
		header.Set(names.LastEventID, lastEvent)
	}
	return &message{
		method: c.method, encode: p.encoder(c, header),
		sendBy: c.sendBy, attempt: c.id, attemptName: names.AttemptID, atMostOnce: !c.route.Repeatable(),
		takeRetry: func() bool { return p.takeFromBudget(c) },
	}
}

// messageForReplica returns the request as sent to a replica.
func (p *Proxy) messageForReplica(c *request, replica *fleet.Replica, lastEvent string) *message {
	m := p.messageFor(c, replica.Head, lastEvent)
	m.isOffered = func() bool {
		offered := p.opts.View().Replicas(replica.Service, replica.Model)
		return slices.ContainsFunc(offered, func(other *fleet.Replica) bool { return other.ID == replica.ID })
	}
	return m
}

// isDone reports whether the caller has disconnected or the deadline has passed.
func (c *request) isDone() bool { return c.ctx.Err() != nil }

// isTimedOut reports whether the deadline has passed.
func (c *request) isTimedOut() bool { return errors.Is(c.ctx.Err(), context.DeadlineExceeded) }
