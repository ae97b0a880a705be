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

	"quartzshelf.dev/common/awake"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	pathConfig    = "/configuration"
	pathWorkers   = "/workers"
	pathDecisions = "/decisions"
	// headsKey asks for the workers that requests go to alone, wholeList for a list from no
	// position on.
	headsKey  = "heads"
	onlyHeads = headsKey + "=1"
	wholeList = -1
	// fetchDelay leaves this daemon's own reading the first chance.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout bounds a call to a peer, maxFetched its answer, in bytes.
	fetchTimeout = time.Second
	maxFetched   = 16 << 20
)

// fetcher brings from peers what they know and this daemon does not.
type fetcher struct {
	server *Server
	client *http.Client
	wanted chan wish
	packed packedConfig
}

// wish is a peer to fetch from, and when that was wanted.
type wish struct {
	*peers.Peer
	wanted awake.Stamp
}

func newFetcher(s *Server) *fetcher {
	f := &fetcher{server: s, wanted: make(chan wish, 1), client: &http.Client{Timeout: fetchTimeout, Transport: s.opts.Ask}}
	if s.opts.Ask == nil {
		f.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}
	}
	return f
}

// want asks for what a peer knows, unless a fetch is waiting already.
func (f *fetcher) want(p *peers.Peer) {
	select {
	case f.wanted <- wish{Peer: p, wanted: awake.NewStamp(f.server.opts.Suspended)}:
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
		case p := <-f.wanted:
			pause.For(ctx, fetchDelay)
			f.fetch(ctx, p)
		}
	}
}

// listen serves peers at the daemon's own address until ctx ends.
func (f *fetcher) listen(ctx context.Context, handler http.Handler) {
	server := &http.Server{Addr: f.server.opts.Self.Address, Handler: handler, ReadHeaderTimeout: headerWait}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		f.server.logger.Error("peers are not served", "address", server.Addr, "error", err)
	}
}

// handler serves what peers ask for.
func (f *fetcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, f.giveConfig)
	mux.HandleFunc("GET "+pathWorkers, f.giveWorkers)
	mux.HandleFunc("GET "+pathDecisions, f.giveDecisions)
	mux.HandleFunc("POST "+pathLeave, f.server.giveLeave)
	return mux
}

// fetch brings what is still missing. What cannot be had now is asked for again
// after the next heartbeat.
func (f *fetcher) fetch(ctx context.Context, p wish) {
	if p.ConfigVersion > f.server.beliefs.Version() {
		f.report(p, f.fetchConfig(ctx, p))
	}
	if f.server.lacksWorkers(p.Peer) {
		f.report(p, f.fetchWorkers(ctx, p))
	}
	if f.server.inventory.Decided().Before(p.Decided) {
		f.report(p, f.fetchDecisions(ctx, p))
	}
}

func (f *fetcher) report(p wish, err error) {
	if err != nil {
		f.server.logger.Debug("not fetched from peer", "peer", p.ID, "error", err)
	}
}

func (f *fetcher) fetchConfig(ctx context.Context, p wish) error {
	data, err := f.get(ctx, p, pathConfig)
	if err != nil {
		return err
	}
	config, err := f.server.opts.Decode(data)
	if err != nil {
		return err
	}
	f.server.beliefs.Offer(config, p.ConfigConfirmedAt())
	return nil
}

func (f *fetcher) fetchWorkers(ctx context.Context, p wish) error {
	inventory := f.server.inventory
	scope, from := inventory.Wants(), inventory.Position()
	if inventory.AwaitsList() && p.Complete {
		from = wholeList
	}
	path := pathWorkers + "?from=" + strconv.FormatInt(from, 10)
	if scope == fleet.HeadsOnly {
		path += "&" + onlyHeads
	}
	data, err := f.get(ctx, p, path)
	if err != nil {
		return err
	}
	var m changesMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return failure.At(failure.Remote, "decode workers", p.ID, err)
	}
	switch {
	case m.Whole && m.Heads:
		inventory.ReplaceHeads(m.Changes, m.To, p.WorkersConfirmedAt())
	case m.Whole:
		inventory.Replace(m.Changes, m.To, p.WorkersConfirmedAt())
	default:
		inventory.Follow(m.Delta, p.WorkersConfirmedAt())
	}
	return nil
}

func (f *fetcher) fetchDecisions(ctx context.Context, p wish) error {
	known := f.server.inventory.Decided()
	data, err := f.get(ctx, p, fmt.Sprintf("%s?term=%d&from=%d", pathDecisions, known.Term, known.Seq))
	if err != nil {
		return err
	}
	var d fleet.Decisions
	if err := json.Unmarshal(data, &d); err != nil {
		return failure.At(failure.Remote, "decode decisions", p.ID, err)
	}
	f.server.inventory.FollowDecisions(d)
	return nil
}

func (f *fetcher) get(ctx context.Context, p wish, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+path, nil)
	if err != nil {
		return nil, failure.At(failure.Invalid, "ask peer", p.ID, err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, failure.At(failure.Unavailable, "ask peer", p.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFetched))
	if err != nil {
		return nil, failure.At(failure.Unavailable, "read answer of peer", p.ID, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(failure.Refused, "ask peer", p.ID, "status %d", response.StatusCode)
	}
	// What the peer confirmed when it was heard is older than it seems.
	if p.wanted.Interrupted() {
		return nil, failure.New(failure.Unavailable, "ask peer", p.ID, "the machine was suspended meanwhile")
	}
	return data, nil
}

func (f *fetcher) giveConfig(w http.ResponseWriter, r *http.Request) {
	config := f.server.beliefs.Config()
	if config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.answer(w, r, config.Encoded(), func() ([]byte, error) { return f.packed.of(config) })
}

// answer answers a peer with data, packed if it takes that.
func (f *fetcher) answer(w http.ResponseWriter, r *http.Request, data []byte, pack func() ([]byte, error)) {
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		packed, err := pack()
		if err == nil {
			w.Header().Set("Content-Encoding", "gzip")
			data = packed
		} else {
			f.server.logger.Warn("answer to a peer sent unpacked", "path", r.URL.Path, "error", err)
		}
	}
	// A peer that has gone does not get it; it asks again.
	_, _ = w.Write(data)
}

// answerJSON answers a peer with a message.
func (f *fetcher) answerJSON(w http.ResponseWriter, r *http.Request, m any) {
	data, err := json.Marshal(m)
	if err != nil {
		f.server.logger.Error("answer to a peer not encoded", "path", r.URL.Path, "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	f.answer(w, r, data, func() ([]byte, error) { return pack(data) })
}

// pack returns data as gzip.
func pack(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, failure.At(failure.Invalid, "pack answer", "", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, failure.At(failure.Invalid, "pack answer", "", err)
	}
	if err := w.Close(); err != nil {
		return nil, failure.At(failure.Invalid, "pack answer", "", err)
	}
	return out.Bytes(), nil
}

// packedConfig keeps the newest configuration compressed: after each change all
// peers ask for it within a second. It is safe for concurrent use.
type packedConfig struct {
	mu     sync.Mutex
	config *fleet.Config
	data   []byte
}

// of returns a configuration as gzip of the operator's own words.
func (p *packedConfig) of(config *fleet.Config) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == config {
		return p.data, nil
	}
	data, err := pack(config.Encoded())
	if err != nil {
		return nil, err
	}
	p.config, p.data = config, data
	return data, nil
}

func (f *fetcher) giveWorkers(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Query().Get(headsKey) != "" {
		d, whole := f.server.inventory.HeadsSince(from)
		f.answerJSON(w, r, changesMessage{Delta: d, Whole: whole})
		return
	}
	if !f.server.inventory.Complete() {
		// A peer that needs all workers asks another one.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d, whole := f.server.inventory.Since(from)
	f.answerJSON(w, r, changesMessage{Delta: d, Whole: whole})
}

func (f *fetcher) giveDecisions(w http.ResponseWriter, r *http.Request) {
	term, errTerm := strconv.ParseInt(r.URL.Query().Get("term"), 10, 64)
	seq, errSeq := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if errTerm != nil || errSeq != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.answerJSON(w, r, f.server.inventory.DecisionsSince(fleet.DecisionPosition{Term: term, Seq: seq}))
}
