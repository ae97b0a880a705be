package gateway

import (
	"fmt"
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

// handleServiceCall forwards a call to a service.
func (g *Gateway) handleServiceCall(c *fiber.Ctx) error {
	r, refused := g.newRequest(c)
	if refused != nil {
		return g.writeRefusal(c, refused)
	}
	c.Set(headerRequest, r.id)
	name := c.Params("name")
	service, ok := g.opts.Config().Service(name)
	if !ok || !service.Allows(r.account) {
		return g.writeRefusal(c, refuse(reason.UnknownService, "the service %q does not exist or is not open to this account", name))
	}
	if ok, wait := g.opts.Limiter.Allow(r.account.Name(), r.account.RequestsPerSecond()); !ok {
		return g.writeRefusal(c, refuse(reason.AccountLimit, "client account %q is over its limit", r.account.Name()).withRetryAfter(wait))
	}
	r.path = "/" + strings.TrimPrefix(strings.TrimPrefix(r.path, "/services/"+service.Name()), "/")
	r.repeatable = isRepeatable(service, r)
	g.retryBudget.addRequest()
	r.startContext(c)
	return g.serveRequest(c, r, g.chooseEndpoint(r, service), false)
}

// isRepeatable reports whether a call may run more than once. It may not if the service's
// configuration forbids it or the call has an idempotency key. Otherwise the value of
// headerRepeatable decides. Without this header, all methods but POST and PATCH are repeatable.
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

// chooseEndpoint returns a chooser for the endpoints of a service. The chooser picks two endpoints
// at random and takes the one with fewer requests in flight from this daemon.
func (g *Gateway) chooseEndpoint(r *request, s config.Service) chooser {
	return func(tried map[string]bool) (*target, *refusal) {
		allowed := r.allowedRegions(s.AllowedRegions())
		endpoints, passedOver := g.eligibleEndpoints(s, allowed, tried)
		g.countPassedOver(passedOver)
		if len(endpoints) == 0 {
			refused := g.refuseNoTarget(fmt.Sprintf("endpoint of service %q", s.Name()), allowed, passedOver)
			g.decisions.Add(r.id, newRefusalDecision(r, s.Name(), refused, passedOver))
			return nil, refused
		}
		chosen := g.pickLessBusy(endpoints)
		return &target{
			id:      chosen.ID(),
			address: chosen.Address(),
			mayServe: func(now time.Time) bool {
				return chosen.MayServe(now) && g.opts.Config().ExclusionReason(chosen.DataHall(), allowed...) == ""
			},
			finish: g.inFlight.Start(chosen.ID(), r.account.Name()),
		}, nil
	}
}

func (g *Gateway) pickLessBusy(endpoints []catalog.Endpoint) catalog.Endpoint {
	a := endpoints[rand.IntN(len(endpoints))]
	b := endpoints[rand.IntN(len(endpoints))]
	inFlightA, _ := g.inFlight.Observe(a.ID(), time.Time{})
	inFlightB, _ := g.inFlight.Observe(b.ID(), time.Time{})
	if inFlightB < inFlightA {
		return b
	}
	return a
}

// eligibleEndpoints returns the endpoints that may get the call now, and counts the excluded ones
// by reason.
func (g *Gateway) eligibleEndpoints(s config.Service, allowed []config.Regions, tried map[string]bool) ([]catalog.Endpoint, PassedOver) {
	view, now := g.opts.Config(), time.Now()
	var all []catalog.Endpoint
	var passedOver PassedOver
	for _, e := range g.opts.Catalog.Endpoints() {
		labels := view.NodeLabels(e.ID(), map[string]string{
			config.LabelDomain: e.Domain(), config.LabelDataHall: e.DataHall(),
			config.LabelKind: string(cluster.KindService),
		})
		if !s.SelectsNode(labels) {
			continue
		}
		switch why := view.ExclusionReason(e.DataHall(), allowed...); {
		case why != "":
			passedOver = passedOver.add(why)
		case tried[e.ID()]:
			passedOver = passedOver.add(reason.Tried)
		case isResting(g.rests, e.ID(), now):
			passedOver = passedOver.add(reason.Resting)
		case labels[config.LabelDrain] == config.LabelTrue:
			passedOver = passedOver.add(reason.Leaving)
		case !e.MayServe(now):
			passedOver = passedOver.add(reason.Suspected)
		default:
			all = append(all, e)
		}
	}
	return all, passedOver
}
