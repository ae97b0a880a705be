package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// forwardedHeader marks a request that a daemon forwarded to a peer. Its value is the number of
// attempts that may have run before. A marked request is not forwarded again.
const forwardedHeader = "Forwarded-By-Peer"

// The outcomes of attempts at peers, for metrics.
const (
	forwardAnswered = "answered"
	forwardFailed   = "failed"
)

var errPeerLost = errors.New("the peer is not alive")

// Peer is another daemon, to which requests can be forwarded.
type Peer struct {
	ID string
	// Incarnation increases with each start of the peer.
	Incarnation int64
	// Address is where the peer serves callers.
	Address string
	// Distance orders peers: lower ones are nearer.
	Distance int
	// IsReady reports whether the peer accepts requests.
	IsReady bool
}

// destination is where an attempt is sent: a replica, or a peer if this daemon reaches no worker.
type destination struct {
	replica *fleet.Replica
	peer    *Peer
}

// id returns the ID of the replica or peer, for logs.
func (d destination) id() string {
	if d.peer != nil {
		return d.peer.ID
	}
	return d.replica.ID
}

// forwards holds the attempts at peers. It is safe for concurrent use.
type forwards struct {
	mu      sync.Mutex
	cancels map[*forward]context.CancelCauseFunc
}

// forward is an attempt at a peer. mayRetry reports whether another attempt may follow it.
type forward struct {
	peer     Peer
	mayRetry bool
}

func newForwards() *forwards { return &forwards{cancels: make(map[*forward]context.CancelCauseFunc)} }

func (f *forwards) add(peer *Peer, mayRetry bool, cancel context.CancelCauseFunc) *forward {
	f.mu.Lock()
	defer f.mu.Unlock()
	added := &forward{peer: *peer, mayRetry: mayRetry}
	f.cancels[added] = cancel
	return added
}

func (f *forwards) remove(added *forward) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancels, added)
}

// sweep cancels the attempts at peers that are not heard, if another attempt may follow. Others are held,
// because a peer that is not heard may still answer.
func (f *forwards) sweep(alivePeers func() []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.cancels) == 0 {
		return
	}
	alive := make(map[string]int64)
	for _, peer := range alivePeers() {
		alive[peer.ID] = peer.Incarnation
	}
	for attempt, cancel := range f.cancels {
		incarnation, ok := alive[attempt.peer.ID]
		isRestarted := ok && incarnation != attempt.peer.Incarnation
		if isRestarted || !ok && attempt.mayRetry {
			cancel(errPeerLost)
		}
	}
}

// readForwarded reads and removes the mark of a forwarded request. An invalid number counts as
// zero.
func (c *request) readForwarded() {
	value := c.header.Get(forwardedHeader)
	if value == "" {
		return
	}
	c.header.Del(forwardedHeader)
	c.isForwarded = true
	if sends, err := strconv.Atoi(value); err == nil && sends > 0 {
		c.sends, c.sendsElsewhere = sends, sends
	}
}

// choosePeer returns a random peer among the nearest ones that are ready, or a refusal if no peer
// may serve the request.
func (p *Proxy) choosePeer(c *request) (*Peer, *refusal) {
	if c.isForwarded {
		return nil, newUnavailable(reason.EndpointUnreachable, "this daemon reaches no worker", retrySoon)
	}
	var nearest []Peer
	for _, peer := range p.opts.Peers() {
		if !peer.IsReady || c.triedPeers[peer.ID] {
			continue
		}
		if len(nearest) > 0 && peer.Distance < nearest[0].Distance {
			nearest = nearest[:0]
		}
		if len(nearest) == 0 || peer.Distance == nearest[0].Distance {
			nearest = append(nearest, peer)
		}
	}
	if len(nearest) == 0 {
		return nil, newUnavailable(reason.EndpointUnreachable, "no daemon reaches a worker", retryUninformed)
	}
	return &nearest[int(p.random()*float64(len(nearest)))], nil
}

// messageForPeer returns the request as forwarded to a peer, which handles it like a caller's. sends is
// the number of attempts that may have run before.
func (p *Proxy) messageForPeer(c *request, lastEvent string, sends int) *message {
	names := p.opts.Names
	header := forwardedHeaders(c.header)
	header.Set(forwardedHeader, strconv.Itoa(sends))
	if lastEvent != "" {
		header.Set(names.LastEventID, lastEvent)
	}
	return &message{
		method: c.method, encode: p.encoder(c, header),
		attempt: c.id, attemptName: names.AttemptID, atMostOnce: !c.route.Repeatable(),
		takeRetry: func() bool { return p.takeFromBudget(c) },
	}
}

// sendToPeer sends an attempt to a peer. It returns an error if the peer refused the request without
// running it.
func (p *Proxy) sendToPeer(ctx context.Context, peer *Peer, m *message) (*exchange, error) {
	daemon := &fleet.Worker{ID: peer.ID, Address: peer.Address, StartedAt: peer.Incarnation}
	e, err := p.peerUpstream.send(ctx, daemon, m)
	if err != nil {
		return nil, err
	}
	if e.response.Header.Get(p.opts.Names.Signature) != "" || !isPromise(e.response.StatusCode) {
		return e, nil
	}
	refused := readPeerRefusal(e.response)
	e.discard()
	return nil, &sendError{mayHaveArrived: e.isResent, cause: failure.Wrap(failure.Refused, "forward to peer", peer.ID, refused)}
}

// peerRefusal is the error of an attempt that a peer refused without running it.
type peerRefusal struct {
	refusal refusal
}

func (e *peerRefusal) Error() string {
	return fmt.Sprintf("refused with status %d, reason %s", e.refusal.status, e.refusal.reason)
}

// mayHaveReachedWorker reports whether a worker may have received the request and rejected it.
func (e *peerRefusal) mayHaveReachedWorker() bool {
	switch e.refusal.reason {
	case reason.EndpointUnreachable, reason.Starting, reason.Stopping, reason.Isolated, reason.MemoryBound:
		return false
	}
	return true
}

// readPeerRefusal reads a peer's refusal. If its body is not understood, the reason is empty.
func readPeerRefusal(response *http.Response) *peerRefusal {
	e := &peerRefusal{refusal: refusal{status: response.StatusCode}}
	var body refusalBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxDiscardBytes)).Decode(&body); err == nil {
		e.refusal.reason, e.refusal.message = reason.Reason(body.Reason), body.Message
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		e.refusal.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return e
}

// finalRefusal returns the refusal to pass on if all peers would refuse the request likewise,
// otherwise nil. Other peers are tried if the refusal is due to the state of the peer itself.
func finalRefusal(err error) *refusal {
	var e *peerRefusal
	if !errors.As(err, &e) {
		return nil
	}
	if e.refusal.reason == "" || e.refusal.reason == reason.EndpointRefused || !e.mayHaveReachedWorker() {
		return nil
	}
	passedOn := e.refusal
	return &passedOn
}

// isPromise reports whether a daemon's refusal with this status promises that the request did not
// run.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardBuffered sends the request through a peer and reads the complete answer.
func (p *Proxy) forwardBuffered(c *request, peer *Peer) (*answer, error) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	attempt := p.forwards.add(peer, c.mayHedge(1), cancel)
	defer p.forwards.remove(attempt)
	e, err := p.sendToPeer(ctx, peer, p.messageForPeer(c, "", c.sends))
	if err != nil {
		return nil, err
	}
	got, err := p.readAnswer(ctx, c, e, peer.ID)
	if err != nil {
		return nil, err
	}
	if err := p.checkSigned(got, peer.ID); err != nil {
		return nil, err
	}
	p.opts.Meter.CountForward(forwardAnswered)
	return got, nil
}

// recordPeerFailure records a failed attempt at a peer and returns whether it may have run.
func (p *Proxy) recordPeerFailure(c *request, peer *Peer, err error) (mayHaveRun bool) {
	c.lastErr = err
	c.triedPeers[peer.ID] = true
	mayHaveRun = mayHaveArrived(err)
	if mayHaveRun {
		c.sends++
	} else {
		c.rejections++
	}
	p.opts.Meter.CountForward(forwardFailed)
	p.opts.Logger.Info("forwarding failed", "request", c.id, "peer", peer.ID, "may_have_run", mayHaveRun, "error", err)
	return mayHaveRun
}
