package serving

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/headlimit"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/suspension"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	pathConfig    = "/configuration"
	pathWorkers   = "/workers"
	pathDecisions = "/decisions"
	// headsParam is the query parameter by which a peer asks only for group heads, to which
	// requests are sent. wholeListPosition is the position by which it asks for the whole list.
	headsParam        = "heads"
	headsQuery        = headsParam + "=1"
	wholeListPosition = -1
	// fetchDelay is the delay before each fetch. This daemon's own reads of the store may complete
	// in the meantime.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout limits the duration of a request to a peer, maxFetchBytes the body of its
	// response, and maxResponseHeadBytes the response's head.
	fetchTimeout         = time.Second
	maxFetchBytes        = 8 << 20
	maxResponseHeadBytes = 16 << 10
)

// fetcher fetches state that this daemon lacks from peers, and serves its own state to them.
type fetcher struct {
	server     *Server
	client     *http.Client
	requests   chan fetchRequest
	compressed compressedConfig
}

// fetchRequest holds the peer to fetch from, and the time when the fetch was requested.
type fetchRequest struct {
	*peers.Peer
	requestedAt suspension.Stamp
}

func newFetcher(s *Server) *fetcher {
	f := &fetcher{server: s, requests: make(chan fetchRequest, 1), client: &http.Client{
		Timeout: fetchTimeout, CheckRedirect: answercheck.FollowNone, Transport: s.opts.PeerTransport,
	}}
	if s.opts.PeerTransport == nil {
		f.client.Transport = answercheck.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: maxResponseHeadBytes,
		})
	}
	return f
}

// schedule schedules a fetch from a peer, unless a fetch is pending already.
func (f *fetcher) schedule(p *peers.Peer) {
	select {
	case f.requests <- fetchRequest{Peer: p, requestedAt: suspension.NewStamp(f.server.opts.Suspended)}:
	default:
	}
}

// run serves peers and fetches from them until ctx ends.
func (f *fetcher) run(ctx context.Context) {
	servePeers := f.server.opts.ServePeers
	if servePeers == nil {
		servePeers = f.listen
	}
	go servePeers(ctx, f.handler())
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.requests:
			pause.Sleep(ctx, fetchDelay)
			f.fetch(ctx, p)
		}
	}
}

// listen serves peers at the daemon's own address until ctx ends.
func (f *fetcher) listen(ctx context.Context, handler http.Handler) {
	address := f.server.opts.Self.Address
	server := headlimit.NewServer(handler, headerTimeout)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(address); err != nil && ctx.Err() == nil {
		f.server.logger.Error("serving peers failed", "address", address, "error", err)
	}
}

// handler returns the handler for requests of peers.
func (f *fetcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, f.serveConfig)
	mux.HandleFunc("GET "+pathWorkers, f.serveWorkers)
	mux.HandleFunc("GET "+pathDecisions, f.serveDecisions)
	mux.HandleFunc("POST "+pathLeave, f.server.serveLeave)
	return mux
}

// fetch fetches whatever state this daemon still lacks compared with a peer. Failures are logged.
// The next heartbeat of a peer schedules another fetch.
func (f *fetcher) fetch(ctx context.Context, p fetchRequest) {
	if p.ConfigVersion > f.server.configCache.Version() {
		f.logFailure(p, f.fetchConfig(ctx, p))
	}
	if f.server.isBehindOnWorkers(p.Peer) {
		f.logFailure(p, f.fetchWorkers(ctx, p))
	}
	if f.server.inventory.Decided().Before(p.Decided) {
		f.logFailure(p, f.fetchDecisions(ctx, p))
	}
}

func (f *fetcher) logFailure(p fetchRequest, err error) {
	if err != nil {
		f.server.logger.Debug("fetch from peer failed", "peer", p.ID, "error", err)
	}
}

func (f *fetcher) fetchConfig(ctx context.Context, p fetchRequest) error {
	data, err := f.get(ctx, p, pathConfig)
	if err != nil {
		return err
	}
	config, err := f.server.opts.Decode(data)
	if err != nil {
		return err
	}
	f.server.configCache.Offer(config, p.ConfigConfirmedAt())
	return nil
}

func (f *fetcher) fetchWorkers(ctx context.Context, p fetchRequest) error {
	inventory := f.server.inventory
	scope, from := inventory.RequestedScope(), inventory.Position()
	if inventory.NeedsList() && p.Complete {
		from = wholeListPosition
	}
	path := pathWorkers + "?from=" + strconv.FormatInt(from, 10)
	if scope == fleet.HeadsOnly {
		path += "&" + headsQuery
	}
	data, err := f.get(ctx, p, path)
	if err != nil {
		return err
	}
	var m changesMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return failure.Wrap(failure.Remote, "decode workers", p.ID, err)
	}
	f.server.rejectInvalid(p.ID, m.Changes)
	switch {
	case m.Whole && m.HeadsOnly:
		inventory.ReplaceHeads(m.Changes, m.To, p.WorkersConfirmedAt())
	case m.Whole:
		inventory.Replace(m.Changes, m.To, p.WorkersConfirmedAt())
	default:
		inventory.Follow(m.Delta, p.WorkersConfirmedAt())
	}
	return nil
}

func (f *fetcher) fetchDecisions(ctx context.Context, p fetchRequest) error {
	known := f.server.inventory.Decided()
	data, err := f.get(ctx, p, fmt.Sprintf("%s?term=%d&from=%d", pathDecisions, known.Term, known.Seq))
	if err != nil {
		return err
	}
	var d fleet.Decisions
	if err := json.Unmarshal(data, &d); err != nil {
		return failure.Wrap(failure.Remote, "decode decisions", p.ID, err)
	}
	f.server.inventory.FollowDecisions(d)
	return nil
}

func (f *fetcher) get(ctx context.Context, p fetchRequest, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+path, nil)
	if err != nil {
		return nil, failure.Wrap(failure.Invalid, "ask peer", p.ID, err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, failure.Wrap(failure.Unavailable, "ask peer", p.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFetchBytes+1))
	if err == nil && len(data) > maxFetchBytes {
		err = fmt.Errorf("the response is longer than %d bytes", maxFetchBytes)
	}
	if err != nil {
		return nil, failure.Wrap(failure.Unavailable, "read response of peer", p.ID, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(failure.Refused, "ask peer", p.ID, "status %d", response.StatusCode)
	}
	// After a suspension, the ages in the peer's heartbeat are out of date.
	if p.requestedAt.Interrupted() {
		return nil, failure.New(failure.Unavailable, "ask peer", p.ID, "the machine was suspended during the call")
	}
	return data, nil
}

func (f *fetcher) serveConfig(w http.ResponseWriter, r *http.Request) {
	config := f.server.configCache.Config()
	if config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.respond(w, r, config.Encoded(), func() ([]byte, error) { return f.compressed.get(config) })
}

// respond writes data to a peer. If the peer accepts gzip, it writes the result of
// compressData instead.
func (f *fetcher) respond(w http.ResponseWriter, r *http.Request, data []byte, compressData func() ([]byte, error)) {
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		compressed, err := compressData()
		if err == nil {
			w.Header().Set("Content-Encoding", "gzip")
			data = compressed
		} else {
			f.server.logger.Warn("sending response to peer uncompressed", "path", r.URL.Path, "error", err)
		}
	}
	// A peer that does not receive the response asks again.
	_, _ = w.Write(data)
}

// respondJSON writes a message to a peer as JSON.
func (f *fetcher) respondJSON(w http.ResponseWriter, r *http.Request, m any) {
	data, err := json.Marshal(m)
	if err != nil {
		f.server.logger.Error("encoding response to peer failed", "path", r.URL.Path, "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	f.respond(w, r, data, func() ([]byte, error) { return compress(data) })
}

// compress returns data as gzip.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, failure.Wrap(failure.Invalid, "compress response", "", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, failure.Wrap(failure.Invalid, "compress response", "", err)
	}
	if err := w.Close(); err != nil {
		return nil, failure.Wrap(failure.Invalid, "compress response", "", err)
	}
	return out.Bytes(), nil
}

// compressedConfig caches the newest configuration in compressed form, since all peers request it
// shortly after a change. It is safe for concurrent use.
type compressedConfig struct {
	mu     sync.Mutex
	config *fleet.Config
	data   []byte
}

// get returns the encoded configuration as gzip.
func (c *compressedConfig) get(config *fleet.Config) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == config {
		return c.data, nil
	}
	data, err := compress(config.Encoded())
	if err != nil {
		return nil, err
	}
	c.config, c.data = config, data
	return data, nil
}

func (f *fetcher) serveWorkers(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Query().Get(headsParam) != "" {
		d, whole := f.server.inventory.HeadsSince(from)
		f.respondJSON(w, r, changesMessage{Delta: d, Whole: whole})
		return
	}
	if !f.server.inventory.IsComplete() {
		// The peer has to get the list from another daemon.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d, whole := f.server.inventory.Since(from)
	f.respondJSON(w, r, changesMessage{Delta: d, Whole: whole})
}

func (f *fetcher) serveDecisions(w http.ResponseWriter, r *http.Request) {
	term, errTerm := strconv.ParseInt(r.URL.Query().Get("term"), 10, 64)
	seq, errSeq := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if errTerm != nil || errSeq != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.respondJSON(w, r, f.server.inventory.DecisionsSince(fleet.DecisionPosition{Term: term, Seq: seq}))
}
