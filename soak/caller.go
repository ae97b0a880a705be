package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quartzshelf.dev/platform/standin"
)

const (
	callTimeout        = 7 * time.Second
	requestDeadline    = callTimeout - time.Second
	resolveTimeout     = time.Second
	minRequestPause    = 10 * time.Millisecond
	requestPauseSpread = 60 * time.Millisecond
	minEvents          = 3
	eventsSpread       = 25
	// disturbanceMargin is how long before a request a fault excuses its failure.
	disturbanceMargin = time.Second
)

// callerKinds are the kinds of requests. Each caller sends requests of one kind.
var callerKinds = []standin.Kind{standin.Stream, standin.AtMostOnce, standin.Stream, standin.Repeatable}

// caller sends one request at a time and checks every response.
type caller struct {
	run    *run
	index  int
	random *rand.Rand
	client *http.Client
	// staysWithDaemon makes the caller keep using a daemon until a request to it fails.
	staysWithDaemon bool
	// staysAtStops makes the caller keep using a daemon that stops until a request to it fails.
	staysAtStops bool
	// stopTraffic draws the sizes of requests where daemons stop; nil elsewhere.
	stopTraffic *stopTraffic
	kind        standin.Kind
	// addresses holds the daemon addresses that the last successful resolve returned.
	addresses           []string
	addressesValidUntil time.Time
	// currentDaemon is the daemon that gets the requests. It is nil if the next request must choose
	// a daemon.
	currentDaemon *daemon
	sentCount     int
}

func newCaller(r *run, index int) *caller {
	c := &caller{
		run: r, index: index, random: rand.New(rand.NewPCG(r.opts.Seed, uint64(index))),
		kind: callerKinds[index%len(callerKinds)], staysWithDaemon: index%3 == 0, staysAtStops: r.opts.staysAtStops(index),
	}
	if r.opts.DaemonStops {
		c.stopTraffic = newStopTraffic(r.opts, index)
	}
	c.client = &http.Client{Transport: &http.Transport{DialContext: r.dial, DisableCompression: true}}
	return c
}

// dial opens a connection to an address. If the address belongs to a daemon, it connects to the
// front proxy of the daemon instead.
func (r *run) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d, ok := r.daemonsByAddress[address]; ok {
		address = d.frontProxy.address()
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// sendRequests sends requests until ctx is done.
func (c *caller) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(minRequestPause + time.Duration(c.random.Int64N(int64(requestPauseSpread))))
		d := c.chooseDaemon(ctx)
		if d == nil {
			time.Sleep(requestPauseSpread)
			continue
		}
		c.sendRequest(d)
	}
}

// chooseDaemon returns the daemon to send the next request to, or nil if no address is known.
func (c *caller) chooseDaemon(ctx context.Context) *daemon {
	if c.currentDaemon != nil && (c.keepsDaemon() || time.Now().Before(c.addressesValidUntil)) {
		return c.currentDaemon
	}
	c.resolve(ctx)
	if len(c.addresses) == 0 {
		return nil
	}
	c.currentDaemon = c.run.daemonsByAddress[c.addresses[c.random.IntN(len(c.addresses))]]
	return c.currentDaemon
}

// keepsDaemon reports whether the caller goes on using its daemon although it must not rely on the address.
func (c *caller) keepsDaemon() bool {
	_, isStopping := c.currentDaemon.status()
	return c.staysWithDaemon || c.staysAtStops && isStopping
}

// resolve asks the daemons in random order for the addresses that callers should use, until one of
// them returns some.
func (c *caller) resolve(ctx context.Context) {
	for _, i := range c.random.Perm(len(c.run.daemons)) {
		d := c.run.daemons[i]
		resolveCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
		addresses, validFor, err := standin.Resolve(resolveCtx, d.directoryProxy.address(), d.settings.Region(), d.settings.Zone)
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.addressesValidUntil = addresses, time.Now().Add(validFor)
			return
		}
	}
}

// call is one request that a caller sends.
type call struct {
	id             string
	kind           standin.Kind
	usesAddedRoute bool
	requestSize
	apiKey string
	// body is the body as it is sent; nil before that.
	body   *requestBody
	daemon *daemon
	// incarnation is the daemon's incarnation when the request was sent.
	incarnation int
	sentAt      time.Time
	// connReused is true if the request was sent on a reused connection.
	connReused atomic.Bool
}

// sharedPart is the first part of all prompts.
const sharedPart = "5a5a:40"

// sender returns the incarnation of the daemon that gets the request, and the time of sending.
func (r *call) sender() standin.Sender {
	return standin.Sender{Daemon: incarnationName(r.daemon, r.incarnation), At: r.sentAt}
}

// sendRequest sends one request and checks its response.
func (c *caller) sendRequest(d *daemon) {
	c.sentCount++
	r := &call{
		id: fmt.Sprintf("c%d-%d", c.index, c.sentCount), kind: c.kind, daemon: d,
		requestSize: c.drawSize(d), sentAt: time.Now(),
	}
	r.incarnation, _ = d.status()
	tenant := ""
	r.apiKey, tenant = c.run.callers.drawKey(c.random)
	r.usesAddedRoute = c.kind == standin.Repeatable && c.random.IntN(3) == 0 && c.run.callers.isRoutePublished()
	c.run.ledger.RecordSent(r.id, r.kind, tenant, r.sender())
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { r.connReused.Store(i.Reused || i.WasIdle) }})
	response, err := c.client.Do(c.newRequest(ctx, r))
	if err != nil {
		c.handleNoAnswer(r, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.checkResponse(r, response)
}

func (c *caller) newRequest(ctx context.Context, r *call) *http.Request {
	path := map[standin.Kind]string{
		standin.Stream: standin.StreamPath + strconv.Itoa(r.eventCount), standin.AtMostOnce: standin.OncePath, standin.Repeatable: standin.SafePath,
	}[r.kind]
	if r.usesAddedRoute {
		path = standin.LaterPath
	}
	// net/http doesn't know the type of the body, so it can't resend the body and does not retry the request.
	r.body = newRequestBody(ctx, r.bodyText(), r.bodyDelay)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.daemon.frontAddress()+path, r.body)
	if err != nil {
		// The soak generates all addresses, so this cannot fail.
		panic(err)
	}
	request.Host = standin.Host
	request.Header.Set(standin.HeaderAttemptID, r.id)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	request.Header.Set(standin.HeaderKey, r.apiKey)
	if r.kind == standin.Stream {
		request.Header.Set(standin.HeaderModel, c.run.models[c.random.IntN(len(c.run.models))].Name)
		request.Header.Set(standin.HeaderUsage, "100,"+strconv.Itoa(r.eventCount))
		request.Header.Set(standin.HeaderPrefix, sharedPart+","+r.id+":60")
	}
	return request
}

// handleNoAnswer records a request that got no response. It reports a violation if the daemon was
// undisturbed, because it must then answer every request that it has read.
func (c *caller) handleNoAnswer(r *call, err error) {
	c.currentDaemon = nil
	c.run.callers.recordOutcome("no answer")
	if errors.Is(err, context.DeadlineExceeded) {
		if c.isUndisturbed(r) {
			c.run.ledger.RecordViolation("HELD", "%s at %s got no answer in %s", r.id, r.daemon.settings.Name, callTimeout)
		}
		return
	}
	incarnation, _ := r.daemon.status()
	dialFailed := r.daemon.frontProxy.hasDialFailedSince(r.sentAt)
	// The daemon may close a reused connection just as the caller sends a request on it. After
	// closeRaceWindow the daemon must have read the request.
	const closeRaceWindow = 100 * time.Millisecond
	mayHaveRacedClose := r.connReused.Load() && time.Since(r.sentAt) < closeRaceWindow
	if c.isUndisturbed(r) && incarnation == r.incarnation && !dialFailed && !mayHaveRacedClose && !r.lacksLateBody() {
		c.run.ledger.RecordViolation("LOST", "%s at %s got no answer after %s, body delayed by %s, connection reused %t: %v",
			r.id, r.daemon.settings.Name, time.Since(r.sentAt), r.bodyDelay, r.connReused.Load(), err)
	}
}

// endedWithoutExcuse reports whether nothing but a pause of workers or a planned stop of the daemon can be
// the cause if a request ends now without its whole answer. The daemon must wait for paused workers until the
// request's deadline, and may cut only requests that were sent, including their bodies, early in its stop.
func (c *caller) endedWithoutExcuse(r *call) bool {
	isEarly := time.Since(r.sentAt) < requestDeadline
	since := r.sentAt.Add(-disturbanceMargin)
	isSound := r.daemon.isUnharmedSince(since) && r.daemon.frontProxy.isHealthySince(since)
	return c.run.opts.checksKind(r.kind) && isEarly && c.run.opts.excusesNothing() && isSound && !r.daemon.mayHaveCut(r.sentWholeAt())
}

// isUndisturbed reports whether the daemon and its front proxy have had no faults since shortly
// before the request was sent.
func (c *caller) isUndisturbed(r *call) bool {
	since := r.sentAt.Add(-disturbanceMargin)
	return r.daemon.isUndisturbedSince(since) && r.daemon.frontProxy.isHealthySince(since)
}

// checkResponse checks the response to a request. Which checks apply depends on the status code.
func (c *caller) checkResponse(r *call, response *http.Response) {
	switch response.StatusCode {
	case http.StatusOK:
		c.checkResult(r, response)
		return
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.run.callers.recordNotExecuted(r.id)
	case http.StatusUnauthorized:
		if !c.run.callers.isRevoked(r.apiKey) {
			c.run.ledger.RecordViolation("DENIED", "%s at %s: its key is in force", r.id, r.daemon.settings.Name)
		}
	case http.StatusNotFound:
		c.checkNotFound(r)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if c.endedWithoutExcuse(r) {
			c.run.ledger.RecordViolation("LOST", "%s at %s was answered with %d after %s", r.id, r.daemon.settings.Name, response.StatusCode, time.Since(r.sentAt))
		}
	}
	c.run.callers.recordOutcome(strconv.Itoa(response.StatusCode))
	// Drains the body so that the connection can be reused.
	_, _ = io.Copy(io.Discard, response.Body)
}

// checkNotFound checks a response with status 404. Such a response is allowed only for the route
// that is added during the soak, and only until the daemon's incarnation has first served that
// route.
func (c *caller) checkNotFound(r *call) {
	if !r.usesAddedRoute {
		c.run.ledger.RecordViolation("DENIED", "%s at %s: its route is there", r.id, r.daemon.settings.Name)
		return
	}
	if c.run.callers.hadServedRoute(r.daemon, r.incarnation, r.sentAt) {
		c.run.ledger.RecordViolation("CONFIG", "%s: %s went back to an older version", r.id, r.daemon.settings.Name)
	}
}

// checkResult checks a response with status 200. It checks the signature and the content, and that
// the key had not been revoked too long before the request.
func (c *caller) checkResult(r *call, response *http.Response) {
	if !strings.HasSuffix(response.Header.Get(standin.HeaderSignature), "."+r.id) {
		c.run.ledger.RecordViolation("MIXED", "%s got an answer signed %q", r.id, response.Header.Get(standin.HeaderSignature))
	}
	var err error
	if r.kind == standin.Stream {
		err = c.checkStream(r, response)
	} else {
		err = c.checkBody(r, response)
	}
	if err != nil {
		c.currentDaemon = nil
		c.run.callers.recordOutcome("cut")
		if c.endedWithoutExcuse(r) || c.run.wasFaultFreeAt(r.sentAt) && c.isUndisturbed(r) {
			c.run.ledger.RecordViolation("LOST", "the answer to %s at %s was cut after %s: %v", r.id, r.daemon.settings.Name, time.Since(r.sentAt), err)
		}
		return
	}
	c.run.callers.recordOutcome("served")
	if r.usesAddedRoute {
		c.run.callers.recordRouteServed(r.daemon, r.incarnation)
	}
	if at, ok := c.run.callers.revocationTime(r.apiKey); ok && r.sentAt.After(at.Add(revocationBound+revocationSlack)) {
		c.run.ledger.RecordViolation("REVOKED", "%s ran %s after its key was taken away", r.id, r.sentAt.Sub(at))
	}
}

func (c *caller) checkBody(r *call, response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if string(body) != standin.ResponseBody(r.id) {
		c.run.ledger.RecordViolation("MIXED", "%s got %q", r.id, body)
	}
	return nil
}

// checkStream checks that every event arrives once and in order. A stream that ends without an
// error must be complete.
func (c *caller) checkStream(r *call, response *http.Response) error {
	reader := bufio.NewReader(response.Body)
	next := 1
	for {
		event, err := readEvent(reader)
		switch {
		case err == io.EOF && event == "" && next == r.eventCount+1:
			return nil
		case err == io.EOF:
			c.run.ledger.RecordViolation("ORDER", "%s ended as complete before event %d of %d", r.id, next, r.eventCount)
			return nil
		case err != nil:
			return err
		case event != standin.FormatEvent(r.id, next, r.eventCount):
			c.run.ledger.RecordViolation("ORDER", "%s got %q in place of event %d", r.id, event, next)
			return nil
		}
		next++
	}
}

// readEvent reads one event, up to and including the empty line at its end.
func readEvent(reader *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			return event.String(), err
		}
		if line == "\n" {
			return event.String(), nil
		}
	}
}
