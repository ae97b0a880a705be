package serving

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/peers"
)

const (
	pathLeave = "/leave"
	// indirectPeerCount is the maximum number of peers that are asked to send an order.
	indirectPeerCount = 6
	// indirectTimeout limits the time for a peer's call to the worker.
	indirectTimeout = 200 * time.Millisecond
	// maxOrderBytes limits the size of a message about an order.
	maxOrderBytes = 64 << 10
)

// leaveMessage is a request to a peer to send a worker the order to leave its group.
type leaveMessage struct {
	Worker fleet.Worker    `json:"worker"`
	Fence  formation.Fence `json:"fence"`
	Group  string          `json:"group"`
	Epoch  int64           `json:"epoch"`
}

// verdictMessage is the worker's verdict on the order.
type verdictMessage struct {
	Verdict formation.Verdict `json:"verdict"`
}

// leaveThroughPeers orders a worker to leave a group by way of several peers at once. It returns
// the first verdict that a peer passes on. If all peers fail, it returns formation.StateMismatch
// and an error. It is used as formation.Options.IndirectLeave.
func (s *Server) leaveThroughPeers(ctx context.Context, w *fleet.Worker, fence formation.Fence, g formation.Group) (formation.Verdict, error) {
	body, err := json.Marshal(leaveMessage{Worker: *w, Fence: fence, Group: g.Name, Epoch: g.Epoch})
	if err != nil {
		return formation.Malformed, failure.Wrap(failure.Invalid, "encode order", w.ID, err)
	}
	chosen := s.randomPeers()
	verdicts := make(chan verdictMessage, len(chosen))
	failures := make(chan error, len(chosen))
	for _, p := range chosen {
		go func() {
			m, err := s.sendLeaveOrder(ctx, p, body)
			if err != nil {
				failures <- err
				return
			}
			verdicts <- m
		}()
	}
	err = failure.New(failure.Unavailable, "send order through peers", w.ID, "no peer is alive")
	for range chosen {
		select {
		case m := <-verdicts:
			return m.Verdict, nil
		case err = <-failures:
		}
	}
	return formation.StateMismatch, err
}

// randomPeers returns up to indirectPeerCount random peers that are alive.
func (s *Server) randomPeers() []*peers.Peer {
	alive := s.agent.Table().Alive(time.Now())
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(len(alive), indirectPeerCount)]
}

func (s *Server) sendLeaveOrder(ctx context.Context, p *peers.Peer, body []byte) (verdictMessage, error) {
	var m verdictMessage
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+pathLeave, bytes.NewReader(body))
	if err != nil {
		return m, failure.Wrap(failure.Invalid, "ask peer to send order", p.ID, err)
	}
	response, err := s.fetcher.client.Do(request)
	if err != nil {
		return m, failure.Wrap(failure.Unavailable, "ask peer to send order", p.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return m, failure.New(failure.Refused, "ask peer to send order", p.ID, "status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxOrderBytes)).Decode(&m); err != nil {
		return m, failure.Wrap(failure.Remote, "decode verdict", p.ID, err)
	}
	return m, nil
}

// serveLeave handles a peer's leaveMessage: it sends the order to the worker and responds with the
// verdict.
func (s *Server) serveLeave(w http.ResponseWriter, r *http.Request) {
	var m leaveMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrderBytes)).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), indirectTimeout)
	defer cancel()
	verdict, err := s.opts.Orders.Leave(ctx, &m.Worker, m.Fence, formation.Group{Name: m.Group, Epoch: m.Epoch})
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	data, err := json.Marshal(verdictMessage{Verdict: verdict})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A peer that does not receive the response asks again.
	_, _ = w.Write(data)
}
