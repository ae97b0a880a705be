package catalog

import (
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/rpc"
)

// Endpoint is a node that runs a plain service.
type Endpoint struct {
	id       string
	address  string
	domain   string
	dataHall string
	deadline time.Time
}

// ID returns the node's name.
func (e Endpoint) ID() string { return e.id }

// Address returns the node's IP:port.
func (e Endpoint) Address() string { return e.address }

// Domain returns the node's fabric domain.
func (e Endpoint) Domain() string { return e.domain }

// DataHall returns the node's data hall.
func (e Endpoint) DataHall() string { return e.dataHall }

// MayServe reports whether the endpoint may be sent requests at the given time.
func (e Endpoint) MayServe(now time.Time) bool { return now.Before(e.deadline) }

// Endpoints returns the service nodes that answer their owner's probes and are not leaving, sorted
// by name.
func (c *Catalog) Endpoints() []Endpoint {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var all []Endpoint
	for domain, h := range c.domains {
		for _, n := range h.report.Nodes {
			if n.State == rpc.NodeState_SERVICE {
				all = append(all, Endpoint{
					id: n.Id, address: n.Address, domain: domain,
					dataHall: h.report.DataHall, deadline: h.deadline,
				})
			}
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.id, b.id) })
	return all
}
