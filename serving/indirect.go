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
	// indirectPeers is how many daemons are asked to give an order.
	indirectPeers = 6
	// indirectTimeout bounds the order that a peer gives.
	indirectTimeout = 200 * time.Millisecond
	// maxOrder bounds a message about an order, in bytes.
	maxOrder = 64 << 10
)

// leaveMessage asks a peer to give an order.
type leaveMessage struct {
	Worker fleet.Worker    `json:"worker"`
	Fence  formation.Fence `json:"fence"`
	Group  string          `json:"group"`
	Epoch  int64           `json:"epoch"`
}

// verdictMessage is how the worker took the order.
type verdictMessage struct {
	Verdict formation.Verdict `json:"verdict"`
}

// leaveThroughPeers is a formation.IndirectLeave: several peers give the order
// at once, with the same fence, and the first answer counts.
func (s *Server) leaveThroughPeers(ctx context.Context, w *fleet.Worker, fence formation.Fence, g formation.Group) (formation.Verdict, error) {
	body, err := json.Marshal(leaveMessage{Worker: *w, Fence: fence, Group: g.Name, Epoch: g.Epoch})
	if err != nil {
		return formation.Malformed, failure.At(failure.Invalid, "encode order", w.ID, err)
	}
	chosen := s.somePeers()
	answers := make(chan verdictMessage, len(chosen))
	failures := make(chan error, len(chosen))
	for _, p := range chosen {
		go func() {
			m, err := s.askToLeave(ctx, p, body)
			if err != nil {
				failures <- err
				return
			}
			answers <- m
		}()
	}
	err = failure.New(failure.Unavailable, "give order through peers", w.ID, "no peer is alive")
	for range chosen {
		select {
		case m := <-answers:
			return m.Verdict, nil
		case err = <-failures:
		}
	}
	return formation.Unfit, err
}

// somePeers returns the peers that are asked, chosen by chance.
func (s *Server) somePeers() []*peers.Peer {
	alive := s.agent.Table().Alive(time.Now())
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(len(alive), indirectPeers)]
}

func (s *Server) askToLeave(ctx context.Context, p *peers.Peer, body []byte) (verdictMessage, error) {
	var m verdictMessage
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+pathLeave, bytes.NewReader(body))
	if err != nil {
		return m, failure.At(failure.Invalid, "ask peer to order", p.ID, err)
	}
	response, err := s.fetcher.client.Do(request)
	if err != nil {
		return m, failure.At(failure.Unavailable, "ask peer to order", p.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return m, failure.New(failure.Refused, "ask peer to order", p.ID, "status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxOrder)).Decode(&m); err != nil {
		return m, failure.At(failure.Remote, "decode verdict", p.ID, err)
	}
	return m, nil
}

// giveLeave gives an order on a peer's behalf.
func (s *Server) giveLeave(w http.ResponseWriter, r *http.Request) {
	var m leaveMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrder)).Decode(&m); err != nil {
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
	// A peer that has gone does not get it; it asks again.
	_, _ = w.Write(data)
}
