package serving

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/peers"
)

// leaveOrders records orders to leave a group and returns a fixed result.
type leaveOrders struct {
	verdict  formation.Verdict
	err      error
	received chan leaveMessage
}

func (o *leaveOrders) leave(_ context.Context, w *fleet.Worker, fence formation.Fence, g formation.Group) (formation.Verdict, error) {
	o.received <- leaveMessage{Worker: *w, Fence: fence, Group: g.Name, Epoch: g.Epoch}
	return o.verdict, o.err
}

func TestOrdersThroughPeers(t *testing.T) {
	worker := &fleet.Worker{ID: "w", Address: "127.0.0.1:1", Service: "s"}
	group := formation.Group{Name: "m-r5", Epoch: 5}
	tests := map[string]struct {
		orders     *leaveOrders
		hasPeer    bool
		want       formation.Verdict
		wantsError bool
	}{
		"the peer reaches it":        {orders: &leaveOrders{verdict: formation.AlreadyStarted}, hasPeer: true, want: formation.AlreadyStarted},
		"a higher term is known":     {orders: &leaveOrders{verdict: formation.Fenced}, hasPeer: true, want: formation.Fenced},
		"the peer does not reach it": {orders: &leaveOrders{err: errors.New("silent")}, hasPeer: true, want: formation.StateMismatch, wantsError: true},
		"there is no peer":           {orders: &leaveOrders{}, want: formation.StateMismatch, wantsError: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.orders.received = make(chan leaveMessage, 1)
			leader, peer := newServer(t, &fakeStore{}), newServer(t, &fakeStore{})
			peer.opts.Orders = formation.WorkerClient{Leave: test.orders.leave}
			if test.hasPeer {
				addPeer(t, leader, servePeer(t, peer))
			}
			verdict, err := leader.leaveThroughPeers(context.Background(), worker, 9, group)
			assert.Equal(t, verdict, test.want)
			assert.Equal(t, err != nil, test.wantsError)
			if test.hasPeer {
				assert.DeepEqual(t, <-test.orders.received, leaveMessage{Worker: *worker, Fence: 9, Group: "m-r5", Epoch: 5})
			}
		})
	}
}

// servePeer serves a daemon's handler for peers and returns its address.
func servePeer(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: s.fetcher.handler(), ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// addPeer passes a heartbeat of a ready peer at an address to a daemon.
func addPeer(t *testing.T, s *Server, address string) {
	t.Helper()
	b := peers.Heartbeat{Identity: peers.Identity{ID: "b", Incarnation: 1, Address: address}, Ready: true}
	assert.Assert(t, s.agent.Table().RecordHeartbeat(b, time.Now(), time.Now()))
}
