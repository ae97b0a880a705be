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
	callTimeout  = 7 * time.Second
	askTimeout   = time.Second
	thinkLeast   = 10 * time.Millisecond
	thinkSpread  = 60 * time.Millisecond
	eventsLeast  = 3
	eventsSpread = 25
)

// caller sends requests one after the other and checks every answer.
type caller struct {
	run    *run
	number int
	random *rand.Rand
	client *http.Client
	// patient callers stay with a daemon until it fails them.
	patient bool
	kind    standin.Kind
	known   []string
	knownTo time.Time
	at      *daemon
	sent    int
}

func newCaller(r *run, number int) *caller {
	kinds := []standin.Kind{standin.Stream, standin.Once, standin.Stream, standin.Safe}
	c := &caller{
		run: r, number: number, random: rand.New(rand.NewPCG(r.opts.Seed, uint64(number))),
		kind: kinds[number%len(kinds)], patient: number%3 == 0,
	}
	c.client = &http.Client{Transport: &http.Transport{DialContext: r.dial, DisableCompression: true}}
	return c
}

// dial reaches a daemon over the link before it.
func (r *run) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d, ok := r.byFront[address]; ok {
		address = d.front.address()
	}
	return (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, network, address)
}

// loop sends requests until ctx ends.
func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(thinkLeast + time.Duration(c.random.Int64N(int64(thinkSpread))))
		d := c.choose(ctx)
		if d == nil {
			time.Sleep(thinkSpread)
			continue
		}
		c.send(d)
	}
}

// choose returns the daemon to send to.
func (c *caller) choose(ctx context.Context) *daemon {
	if c.at != nil && (c.patient || time.Now().Before(c.knownTo)) {
		return c.at
	}
	c.ask(ctx)
	if len(c.known) == 0 {
		return nil
	}
	c.at = c.run.byFront[c.known[c.random.IntN(len(c.known))]]
	return c.at
}

// ask asks the daemons which addresses to use, in some order, until one tells.
func (c *caller) ask(ctx context.Context) {
	for _, i := range c.random.Perm(len(c.run.daemons)) {
		d := c.run.daemons[i]
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		addresses, keep, err := standin.Resolve(asking, d.directory.address(), d.settings.Region(), d.settings.Zone)
		cancel()
		if err == nil && len(addresses) > 0 {
			c.known, c.knownTo = addresses, time.Now().Add(keep)
			return
		}
	}
}

// call is one request and what is known when it is sent.
type call struct {
	id     string
	kind   standin.Kind
	later  bool
	events int
	key    string
	daemon *daemon
	life   int
	sentAt time.Time
	reused atomic.Bool
}

// sender names the daemon's life to which a request goes, and when it does.
func (r *call) sender() standin.Sender {
	return standin.Sender{Daemon: lifeOf(r.daemon, r.life), At: r.sentAt}
}

// send sends one request and checks its answer.
func (c *caller) send(d *daemon) {
	c.sent++
	r := &call{
		id: fmt.Sprintf("c%d-%d", c.number, c.sent), kind: c.kind, daemon: d,
		events: eventsLeast + c.random.IntN(eventsSpread), sentAt: time.Now(),
	}
	r.life, _ = d.status()
	tenant := ""
	r.key, tenant = c.run.callers.key(c.random)
	r.later = c.kind == standin.Safe && c.random.IntN(3) == 0 && c.run.callers.hasRoute()
	c.run.ledger.Sent(r.id, r.kind, tenant, r.sender())
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { r.reused.Store(i.Reused || i.WasIdle) }})
	response, err := c.client.Do(c.request(ctx, r))
	if err != nil {
		c.noAnswer(r, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.answered(r, response)
}

func (c *caller) request(ctx context.Context, r *call) *http.Request {
	path := map[standin.Kind]string{
		standin.Stream: standin.StreamPath + strconv.Itoa(r.events), standin.Once: standin.OncePath, standin.Safe: standin.SafePath,
	}[r.kind]
	if r.later {
		path = standin.LaterPath
	}
	// The body is of a kind that the library cannot send again by itself.
	body := io.NopCloser(strings.NewReader("a body"))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.daemon.frontAddress()+path, body)
	if err != nil {
		// The address is one that the soak made.
		panic(err)
	}
	request.Host = standin.Host
	request.Header.Set(standin.HeaderAttempt, r.id)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt((callTimeout-time.Second).Milliseconds(), 10))
	request.Header.Set(standin.HeaderKey, r.key)
	if r.kind == standin.Stream {
		request.Header.Set(standin.HeaderModel, c.run.models[c.random.IntN(len(c.run.models))].Name)
		request.Header.Set(standin.HeaderUsage, "100,"+strconv.Itoa(r.events))
	}
	return request
}

// noAnswer deals with a connection that ended without an answer. A daemon that
// lives in peace answers every request that it read.
func (c *caller) noAnswer(r *call, err error) {
	c.at = nil
	c.run.callers.count("no answer")
	if errors.Is(err, context.DeadlineExceeded) {
		if c.peaceful(r) {
			c.run.ledger.Broken("HELD", "%s at %s got no answer in %s", r.id, r.daemon.settings.Name, callTimeout)
		}
		return
	}
	life, _ := r.daemon.status()
	refused := r.daemon.front.refusedSince(r.sentAt)
	// A request on a connection that was kept may cross its close; one that was
	// under way for longer was read.
	const crossing = 100 * time.Millisecond
	crossed := r.reused.Load() && time.Since(r.sentAt) < crossing
	if c.peaceful(r) && life == r.life && !refused && !crossed {
		c.run.ledger.Broken("LOST", "%s at %s: %v", r.id, r.daemon.settings.Name, err)
	}
}

// peaceful reports whether nothing has harmed the daemon or the link to it for
// as long as the request took, and a little before.
func (c *caller) peaceful(r *call) bool {
	const before = time.Second
	from := r.sentAt.Add(-before)
	return r.daemon.quietSince(from) && r.daemon.front.soundSince(from)
}

// answered checks an answer.
func (c *caller) answered(r *call, response *http.Response) {
	switch response.StatusCode {
	case http.StatusOK:
		c.checkResult(r, response)
		return
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.run.callers.promised(r.id)
	case http.StatusUnauthorized:
		if !c.run.callers.isRevoked(r.key) {
			c.run.ledger.Broken("DENIED", "%s at %s: its key is in force", r.id, r.daemon.settings.Name)
		}
	case http.StatusNotFound:
		c.checkMissing(r)
	}
	c.run.callers.count(strconv.Itoa(response.StatusCode))
	// What is left of a refusal is of no use.
	_, _ = io.Copy(io.Discard, response.Body)
}

// checkMissing checks a request whose route was not found: only the route that
// was added may be missing, and only in a life that has not known it yet.
func (c *caller) checkMissing(r *call) {
	if !r.later {
		c.run.ledger.Broken("DENIED", "%s at %s: its route is there", r.id, r.daemon.settings.Name)
		return
	}
	if c.run.callers.knewRoute(r.daemon, r.life, r.sentAt) {
		c.run.ledger.Broken("CONFIG", "%s: %s went back to an older version", r.id, r.daemon.settings.Name)
	}
}

// checkResult checks a success.
func (c *caller) checkResult(r *call, response *http.Response) {
	if !strings.HasSuffix(response.Header.Get(standin.HeaderSignature), "."+r.id) {
		c.run.ledger.Broken("MIXED", "%s got an answer signed %q", r.id, response.Header.Get(standin.HeaderSignature))
	}
	var err error
	if r.kind == standin.Stream {
		err = c.readStream(r, response)
	} else {
		err = c.readWhole(r, response)
	}
	if err != nil {
		c.at = nil
		c.run.callers.count("cut")
		if c.run.peaceSince(r.sentAt) && c.peaceful(r) {
			c.run.ledger.Broken("LOST", "the answer to %s at %s was cut: %v", r.id, r.daemon.settings.Name, err)
		}
		return
	}
	c.run.callers.count("served")
	if r.later {
		c.run.callers.knowsRoute(r.daemon, r.life)
	}
	if at, ok := c.run.callers.revokedAt(r.key); ok && r.sentAt.After(at.Add(revokeBound+revokeSlack)) {
		c.run.ledger.Broken("REVOKED", "%s ran %s after its key was taken away", r.id, r.sentAt.Sub(at))
	}
}

func (c *caller) readWhole(r *call, response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if string(body) != standin.Body(r.id) {
		c.run.ledger.Broken("MIXED", "%s got %q", r.id, body)
	}
	return nil
}

// readStream checks that every event comes once and in order, and that a stream
// which ends as complete is.
func (c *caller) readStream(r *call, response *http.Response) error {
	reader := bufio.NewReader(response.Body)
	next := 1
	for {
		event, err := readEvent(reader)
		switch {
		case err == io.EOF && event == "" && next == r.events+1:
			return nil
		case err == io.EOF:
			c.run.ledger.Broken("ORDER", "%s ended as complete before event %d of %d", r.id, next, r.events)
			return nil
		case err != nil:
			return err
		case event != standin.Event(r.id, next, r.events):
			c.run.ledger.Broken("ORDER", "%s got %q in place of event %d", r.id, event, next)
			return nil
		}
		next++
	}
}

// readEvent reads up to the empty line that ends an event.
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
