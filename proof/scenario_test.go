package proof

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/token"
	"quartzshelf.dev/config"
	"quartzshelf.dev/standin"
)

// singleDomainOptions describes a fleet with one fabric domain of the given size.
func singleDomainOptions(daemons, nodes int) fleetOptions {
	return fleetOptions{
		daemons: daemons,
		domains: []standin.DomainOptions{{Name: "fabric-1", DataHall: "hall-0", EngineNodes: nodes, Accelerators: 4}},
	}
}

// servingCount returns the number of replicas of a deployment that a daemon may use.
func servingCount(h *host, deployment string) int {
	return len(h.catalog.Serving(deployment, time.Now()))
}

// ownerAndOther returns the daemon that owns the domain, and one that does not.
func ownerAndOther(t *testing.T, f *fleet, domain string) (*host, *host) {
	t.Helper()
	name := f.hosts[0].grants.Grant(domain).Owner()
	var owner, other *host
	for _, h := range f.hosts {
		if h.id == name {
			owner = h
		} else {
			other = h
		}
	}
	assert.Assert(t, owner != nil && other != nil, "owner is %q", name)
	return owner, other
}

// publishLabels publishes the labels of a node.
func publishLabels(t *testing.T, h *host, node string, labels map[string]string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	object, _ := h.state.View().Object(config.Key{Kind: config.KindNode, Name: node})
	verdict, err := h.publish(ctx, "label-"+h.fleet.newID(), config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Document: config.Document{Kind: config.KindNode, Name: node, Labels: labels},
		Base: object.Revision(),
	}}})
	assert.NilError(t, err)
	assert.Assert(t, verdict.Accepted, verdict.Problem)
}

// TestLeavingNodeWithoutSpare checks that a replica with a leaving node stops serving even if no
// node can replace that node.
func TestLeavingNodeWithoutSpare(t *testing.T) {
	leave := map[string]func(*testing.T, *fleet, string){
		"by the node list": func(_ *testing.T, f *fleet, id string) {
			n, _ := f.cluster.Node(id)
			n.SetLeaving(true)
		},
		"by a label": func(t *testing.T, f *fleet, id string) {
			publishLabels(t, f.hosts[0], id, map[string]string{config.LabelDrain: config.LabelTrue})
		},
	}
	for name, how := range leave {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(singleDomainOptions(2, 4))
				defer f.stop()
				f.formFirstReplica(t)
				assert.Equal(t, servingCount(f.hosts[1], "chat"), 1)
				how(t, f, "fabric-1-n02")
				time.Sleep(6 * time.Second)
				for _, h := range f.hosts {
					assert.Equal(t, servingCount(h, "chat"), 0, h.id)
				}
			})
		})
	}
}

// TestNodesAreNotReusedWhileRoutersMayUseThem checks that no node of a broken replica is given to
// another replica while a router may still use the broken one. The router is cut off from the
// owner, the nodes and the log. The head of the broken replica would still accept requests from the
// router.
func TestNodesAreNotReusedWhileRoutersMayUseThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(singleDomainOptions(2, 8))
		defer f.stop()
		f.formFirstReplica(t)
		time.Sleep(2 * time.Second)
		owner, router := ownerAndOther(t, f, "fabric-1")
		batch, ok := router.catalog.Replica("batch-fabric-1-0")
		assert.Assert(t, ok)
		chat, ok := router.catalog.Replica("chat-fabric-1-0")
		assert.Assert(t, ok)
		// The head of batch must not be given to chat.
		publishLabels(t, owner, batch.Nodes()[0], map[string]string{"keep": "yes"})
		deployment, _ := owner.state.View().Object(config.Key{Kind: config.KindDeployment, Name: "chat"})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := owner.publish(ctx, "narrow", config.ChangeSet{Changes: []config.Change{{
			Operation: config.OperationPut, Base: deployment.Revision(),
			Document: newDocument(config.KindDeployment, "chat", nil, config.DeploymentSpec{
				ModelSelector: "family=m", NodeSelector: "keep!=yes", NodesPerReplica: 4, Replicas: 1, Priority: 1,
			}),
		}}})
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		w := startWatcher(f)
		w.forbidsConflict = true
		time.Sleep(time.Second)
		for _, place := range []string{owner.id, placeNodes, placeLog} {
			f.net.setCut(router.id, place, true)
		}
		for _, id := range []string{batch.Nodes()[3], chat.Nodes()[3]} {
			n, _ := f.cluster.Node(id)
			n.Kill()
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, w.stop(), "")
		assert.Equal(t, servingCount(owner, "chat"), 1)
	})
}

// TestDelayedOrderOfOwnerDoesNoHarm freezes an owner right before one of its orders takes effect.
// A deputy, which is a daemon that acts for an absent owner, takes over and repairs the replica.
// Then the owner is resumed. The replica must stay usable.
func TestDelayedOrderOfOwnerDoesNoHarm(t *testing.T) {
	withLogUpAndDown(t, func(t *testing.T, f *fleet, owner, router *host, applyLogState func()) {
		w := startWatcher(f)
		time.Sleep(time.Second)
		applyLogState()
		f.net.freezeBeforeNext(owner.id, placeNodes)
		n, _ := f.cluster.Node("fabric-1-n01")
		n.Kill()
		time.Sleep(25 * time.Second)
		assert.Assert(t, f.net.isFrozen(owner.id), "the owner gave no order")
		assert.Equal(t, servingCount(router, "chat"), 1, "a deputy repaired the replica")
		f.net.resume(owner.id)
		time.Sleep(20 * time.Second)
		assert.Equal(t, w.stop(), "")
		assert.Equal(t, servingCount(router, "chat"), 1)
	})
}

// TestTakeoverKeepsReplicasServing kills the owner of a domain. The replica must stay usable
// before and after a deputy, a daemon that acts for an absent owner, takes over.
func TestTakeoverKeepsReplicasServing(t *testing.T) {
	withLogUpAndDown(t, func(t *testing.T, _ *fleet, owner, router *host, applyLogState func()) {
		applyLogState()
		owner.kill()
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, servingCount(router, "chat"), 1)
		}
	})
}

// withLogUpAndDown runs body on a fleet of three daemons with a formed replica: once with the
// log available, and once with an outage of the log. The outage starts when body calls
// applyLogState.
func withLogUpAndDown(t *testing.T, body func(t *testing.T, f *fleet, owner, router *host, applyLogState func())) {
	for name, isLogDown := range map[string]bool{"log well": false, "log out": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(singleDomainOptions(3, 6))
				defer f.stop()
				f.formFirstReplica(t)
				owner, router := ownerAndOther(t, f, "fabric-1")
				body(t, f, owner, router, func() { f.log.SetFaults(standin.LogFaults{Outage: isLogDown}) })
			})
		})
	}
}

// TestUnfencedNodesAreLeftToTheOwner kills the owner of a domain during an outage of the log.
// The nodes don't check fencing tokens. A deputy, a daemon that acts for the absent owner, may
// report that the replica serves, but must not give orders. A broken replica must stay
// unavailable until the log is back and a new owner holds the lease.
func TestUnfencedNodesAreLeftToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := singleDomainOptions(3, 6)
		opts.domains[0].IgnoreTokens = true
		f := newFleet(opts)
		defer f.stop()
		time.Sleep(2 * time.Second)
		for _, n := range f.cluster.AllNodes() {
			publishLabels(t, f.hosts[0], n.ListEntry().ID, map[string]string{config.LabelFenced: config.LabelFalse})
		}
		f.publishBasics(t, 1)
		time.Sleep(20 * time.Second)
		owner, router := ownerAndOther(t, f, "fabric-1")
		assert.Equal(t, servingCount(router, "chat"), 1)
		f.log.SetFaults(standin.LogFaults{Outage: true})
		owner.kill()
		time.Sleep(10 * time.Second)
		assert.Equal(t, servingCount(router, "chat"), 1, "an intact replica serves on")
		n, _ := f.cluster.Node("fabric-1-n01")
		n.Kill()
		time.Sleep(20 * time.Second)
		assert.Equal(t, servingCount(router, "chat"), 0, "a deputy must not order these nodes")
		f.log.SetFaults(standin.LogFaults{})
		time.Sleep(25 * time.Second)
		assert.Equal(t, servingCount(router, "chat"), 1)
	})
}

// TestDomainsReturnToTheirDaemon kills and restarts the owner of a domain. The owner must get the
// domain back after a while, and the replica must serve all the time.
func TestDomainsReturnToTheirDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := singleDomainOptions(3, 6)
		f := newFleet(opts)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.publishBasics(t, 1)
		time.Sleep(50 * time.Second)
		owner, router := ownerAndOther(t, f, "fabric-1")
		owner.kill()
		time.Sleep(20 * time.Second)
		assert.Assert(t, router.grants.Grant("fabric-1").Owner() != owner.id)
		owner.start(opts)
		for range 800 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, servingCount(router, "chat"), 1)
		}
		assert.Equal(t, router.grants.Grant("fabric-1").Owner(), owner.id)
	})
}

// TestOwnerCutOffFromNodesIsReplaced cuts the owner off from all nodes, but not from the other
// daemons. Another daemon must take over the domain.
func TestOwnerCutOffFromNodesIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(singleDomainOptions(3, 6))
		defer f.stop()
		f.formFirstReplica(t)
		owner, router := ownerAndOther(t, f, "fabric-1")
		f.net.setCut(owner.id, placeNodes, true)
		time.Sleep(30 * time.Second)
		assert.Equal(t, servingCount(router, "chat"), 1)
		n, _ := f.cluster.Node("fabric-1-n01")
		n.SetLeaving(true)
		w := startWatcher(f)
		time.Sleep(10 * time.Second)
		f.net.heal()
		time.Sleep(30 * time.Second)
		assert.Equal(t, w.stop(), "")
		assert.Equal(t, servingCount(owner, "chat"), 1)
	})
}

// TestScriptedReplicaIsRoutedToAndLeftAlone runs a replica that is managed by scripts beside one
// that is managed by the daemons. The scripted replica must be usable while all its nodes are
// ready. Its nodes must never get an order, even if the managed replica needs a node.
func TestScriptedReplicaIsRoutedToAndLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(singleDomainOptions(2, 8))
		defer f.stop()
		time.Sleep(2 * time.Second)
		scripted := []string{"fabric-1-n04", "fabric-1-n05", "fabric-1-n06", "fabric-1-n07"}
		order := cluster.Order{Token: token.Token{Epoch: 1 << 40}, Assignment: cluster.Assignment{
			Replica: "by-script", Generation: 3, Deployment: "chat", Version: "v1", Members: scripted,
		}}
		for _, id := range scripted {
			publishLabels(t, f.hosts[0], id, map[string]string{
				config.LabelManagedBy: config.ManagedByScripts, config.LabelDeployment: "chat", config.LabelReplica: "s1",
			})
			_, err := f.cluster.Order(t.Context(), id, order)
			assert.NilError(t, err)
		}
		f.formFirstReplica(t)
		router := f.hosts[1]
		assert.Equal(t, servingCount(router, "chat"), 2)
		replica, ok := router.catalog.Replica("chat/s1")
		assert.Assert(t, ok)
		assert.Equal(t, replica.AssignedName(), "by-script")
		lost, _ := f.cluster.Node("fabric-1-n01")
		lost.Kill()
		time.Sleep(20 * time.Second)
		assert.Equal(t, servingCount(router, "chat"), 1, "the managed replica has no node to take")
		for _, id := range scripted {
			n, _ := f.cluster.Node(id)
			_, held := n.IncarnationAndToken()
			assert.Equal(t, held, order.Token, id)
		}
		member, _ := f.cluster.Node("fabric-1-n06")
		member.Kill()
		time.Sleep(2 * time.Second)
		assert.Equal(t, servingCount(router, "chat"), 0, "a partial scripted replica must not serve")
	})
}
