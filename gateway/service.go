package gateway

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
)

// callService passes a call on to a plain service.
func (g *Gateway) callService(c *fiber.Ctx) error {
	r, bad := g.newRequest(c)
	if bad != nil {
		return g.refuse(c, bad)
	}
	c.Set(headerRequest, r.id)
	name := c.Params("name")
	service, ok := g.opts.Config().Service(name)
	if !ok || !service.Allows(r.account) {
		return g.refuse(c, refuse(reason.UnknownService, "the service %q does not exist or is not open to this account", name))
	}
	if ok, wait := g.opts.Limiter.Allow(r.account.Name(), r.account.RequestsPerSecond()); !ok {
		return g.refuse(c, refuse(reason.AccountLimit, "client account %q is over its limit", r.account.Name()).after(wait))
	}
	r.path = "/" + strings.TrimPrefix(strings.TrimPrefix(r.path, "/services/"+service.Name()), "/")
	r.repeatable = isRepeatable(service, r)
	g.budget.earn()
	r.begin(c)
	return g.run(c, r, g.chooseEndpoint(r, service), false)
}

// isRepeatable reports whether a call may be run more than once: what the
// service declares goes first, then what the caller says, then the method.
func isRepeatable(s config.Service, r *request) bool {
	path, _, _ := strings.Cut(r.path, "?")
	if !s.Repeatable(r.method, path) || r.key != "" {
		return false
	}
	switch r.header.Get(headerRepeatable) {
	case valueNo:
		return false
	case valueYes:
		return true
	}
	return r.method != http.MethodPost && r.method != http.MethodPatch
}

// chooseEndpoint returns a chooser over the endpoints of a service: the one
// with the fewest of this daemon's requests of two random ones.
func (g *Gateway) chooseEndpoint(r *request, s config.Service) chooser {
	return func(tried map[string]bool) (*target, *refusal) {
		endpoints := g.endpointsOf(s, tried)
		if len(endpoints) == 0 {
			return nil, refuse(reason.NoReplica, "no endpoint of service %q serves at present", s.Name()).after(retryLater)
		}
		chosen := g.lessBusy(endpoints)
		return &target{
			id:       chosen.ID(),
			address:  chosen.Address(),
			mayServe: chosen.MayServe,
			finish:   g.inflight.Start(chosen.ID(), r.account.Name()),
		}, nil
	}
}

func (g *Gateway) lessBusy(endpoints []catalog.Endpoint) catalog.Endpoint {
	a := endpoints[rand.IntN(len(endpoints))]
	b := endpoints[rand.IntN(len(endpoints))]
	ownA, _ := g.inflight.Observe(a.ID(), time.Time{})
	ownB, _ := g.inflight.Observe(b.ID(), time.Time{})
	if ownB < ownA {
		return b
	}
	return a
}

// endpointsOf returns the endpoints that may serve now, without those tried.
func (g *Gateway) endpointsOf(s config.Service, tried map[string]bool) []catalog.Endpoint {
	view, now := g.opts.Config(), time.Now()
	var all []catalog.Endpoint
	for _, e := range g.opts.Catalog.Endpoints() {
		labels := view.NodeLabels(e.ID(), map[string]string{
			config.LabelDomain: e.Domain(), config.LabelDataHall: e.DataHall(),
			config.LabelKind: string(cluster.KindService),
		})
		drained := labels[config.LabelDrain] == config.LabelTrue
		if e.MayServe(now) && !tried[e.ID()] && !drained && s.SelectsNode(labels) {
			all = append(all, e)
		}
	}
	return all
}
