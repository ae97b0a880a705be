package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"quartzshelf.dev/admission"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/intent"
	"quartzshelf.dev/membership"
	"quartzshelf.dev/rpc"
)

// peerServer answers the calls of other daemons.
type peerServer struct {
	*membership.Agent
	ledger *intent.Ledger
	home   *admission.Home
	config func() *config.View
}

var _ rpc.Peer = (*peerServer)(nil)

// Claim implements rpc.Peer. It queues the record of an intent for the next append to the log, and
// replies whether the record was queued. It refuses a request without ID or data.
func (p *peerServer) Claim(_ context.Context, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	if r.RecordId == "" || len(r.Data) == 0 {
		return &rpc.ClaimReply{Reason: string(reason.BadRequest)}, nil
	}
	if !p.ledger.Write(cluster.Record{ID: r.RecordId, Data: r.Data}) {
		return &rpc.ClaimReply{Reason: string(reason.Overloaded)}, nil
	}
	return &rpc.ClaimReply{Committed: true}, nil
}

// Outcome implements rpc.Peer. It returns the phase and the answer of an attempt that
// this daemon holds.
func (p *peerServer) Outcome(_ context.Context, r *rpc.OutcomeRequest) (*rpc.OutcomeReply, error) {
	o := p.ledger.LocalOutcome(r.Attempt)
	return &rpc.OutcomeReply{
		State: string(o.Phase()), Status: uint32(o.Answer().Status()),
		ContentType: o.Answer().ContentType(), Body: o.Answer().Body(),
	}, nil
}

// LeaseShare implements rpc.Peer. It leases the calling daemon a share of an account's
// rate limit, or none if the account is unknown.
func (p *peerServer) LeaseShare(_ context.Context, r *rpc.LeaseShareRequest) (*rpc.LeaseShareReply, error) {
	for _, a := range p.config().Accounts() {
		if a.Name() == r.Account {
			share, expiresAt := p.home.Lease(r.Account, r.From, a.RequestsPerSecond(), r.Demand)
			return &rpc.LeaseShareReply{
				Share: share, RemainingMicros: uint64(time.Until(expiresAt).Microseconds()),
			}, nil
		}
	}
	return &rpc.LeaseShareReply{}, nil
}

// peerClients holds one client for each peer address.
type peerClients struct {
	http      *http.Client
	transport *http.Transport
	traffic   *traffic

	mu      sync.Mutex
	clients map[string]rpc.Peer
}

const (
	// peerTimeout bounds each call and each connection attempt to another daemon.
	peerTimeout      = 5 * time.Second
	maxIdlePeerConns = 2
	// peerIdleTimeout is how long an idle connection is kept. It is short because, in a
	// large fleet, the same two daemons seldom call each other again soon.
	peerIdleTimeout = 5 * time.Second
	// maxPeerMessageBytes and maxPeerHeaderBytes limit a call's message and its reply, and the
	// header of each. The generated code reads messages whole.
	maxPeerMessageBytes = 8 << 20
	maxPeerHeaderBytes  = 16 << 10
)

func newPeerClients() *peerClients {
	t := &traffic{}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: peerIdleTimeout, DialContext: t.dial,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}
	return &peerClients{
		http:      &http.Client{Timeout: peerTimeout, CheckRedirect: answercheck.FollowNone, Transport: limitedTransport{answercheck.NewTransport(transport)}},
		transport: transport,
		traffic:   t,
		clients:   make(map[string]rpc.Peer),
	}
}

// newPeerHTTP returns the HTTP server for calls of other daemons.
func newPeerHTTP(s rpc.Peer) *http.Server {
	return &http.Server{
		Handler:     http.MaxBytesHandler(rpc.NewPeerServer(s), maxPeerMessageBytes),
		ReadTimeout: peerReadTimeout, MaxHeaderBytes: maxPeerHeaderBytes,
	}
}

// limitedTransport limits the bodies of replies, which the generated client reads whole.
type limitedTransport struct {
	*answercheck.Transport
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxPeerMessageBytes)
	}
	return response, err
}

// get returns the client of the daemon at a peer address, and creates it if needed.
func (c *peerClients) get(address string) rpc.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = rpc.NewPeerProtobufClient("http://"+address, c.http)
		c.clients[address] = client
	}
	return client
}

// closeIdle closes the idle connections.
func (c *peerClients) closeIdle() { c.http.CloseIdleConnections() }

// peerAddress returns the peer address of a member.
func (d *Daemon) peerAddress(id string) (string, error) {
	m, ok := d.agent.Table().Member(id)
	if !ok {
		return "", failure.New(failure.Unavailable, "find member", id, "the member is not known")
	}
	return m.PeerAddress, nil
}

// submitIntent sends a record to the daemon that appends the key's records, and reports
// whether that daemon queued it. It reports false if that daemon is this one.
func (d *Daemon) submitIntent(ctx context.Context, key intent.Key, record cluster.Record) bool {
	writer := intentWriter(string(key), d.stayingMembers())
	if writer == nil || writer.Id == d.settings.Name {
		return false
	}
	reply, err := d.peerClients.get(writer.PeerAddress).Claim(ctx, &rpc.ClaimRequest{RecordId: record.ID, Data: record.Data})
	return err == nil && reply.Committed
}

// askOutcome asks the daemon that holds an attempt for the attempt's outcome.
func (d *Daemon) askOutcome(ctx context.Context, holder, attempt string) (intent.Outcome, error) {
	address, err := d.peerAddress(holder)
	if err != nil {
		return intent.Outcome{}, err
	}
	reply, err := d.peerClients.get(address).Outcome(ctx, &rpc.OutcomeRequest{Attempt: attempt})
	if err != nil {
		return intent.Outcome{}, failure.Wrap(failure.Unavailable, "ask outcome", holder, err)
	}
	answer := intent.NewAnswer(int(reply.Status), reply.ContentType, reply.Body)
	return intent.NewOutcome(intent.Phase(reply.State), answer), nil
}

// leaseShare asks the account's home, the daemon that divides the account's rate limit,
// for a share in requests per second. It returns the share and when it expires.
func (d *Daemon) leaseShare(ctx context.Context, account string, demand float64) (float64, time.Time, error) {
	home := accountHome(account, d.stayingMembers())
	if home == nil {
		return 0, time.Time{}, failure.New(failure.Unavailable, "find home", account, "no daemon is alive")
	}
	start := time.Now()
	request := &rpc.LeaseShareRequest{Account: account, From: d.settings.Name, Demand: demand}
	var reply *rpc.LeaseShareReply
	var err error
	if home.Id == d.settings.Name {
		reply, err = d.peerServer.LeaseShare(ctx, request)
	} else {
		reply, err = d.peerClients.get(home.PeerAddress).LeaseShare(ctx, request)
	}
	if err != nil {
		return 0, time.Time{}, failure.Wrap(failure.Unavailable, "lease share", home.Id, err)
	}
	return reply.Share, start.Add(time.Duration(reply.RemainingMicros) * time.Microsecond), nil
}

// stayingMembers returns the members that are alive and not about to leave.
func (d *Daemon) stayingMembers() []*rpc.Member {
	var staying []*rpc.Member
	for _, m := range d.agent.Table().Alive() {
		if !m.Leaving {
			staying = append(staying, m)
		}
	}
	return staying
}
