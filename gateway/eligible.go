package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/catalog"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
)

// closedHallRetryAfter is the Retry-After value of requests that are refused because all usable
// data halls are closed. If a hall opens, all daemons apply the change in less than this time.
const closedHallRetryAfter = 15 * time.Second

// PassedOver counts, by reason, the replicas or endpoints that could not be chosen for a request.
type PassedOver map[reason.Reason]int

// add counts one more exclusion and allocates the map if necessary.
func (p PassedOver) add(why reason.Reason) PassedOver {
	if p == nil {
		p = make(PassedOver)
	}
	p[why]++
	return p
}

// String formats the counts as in "hall_closed=3 tried=1".
func (p PassedOver) String() string {
	var all []string
	for _, why := range slices.Sorted(maps.Keys(p)) {
		all = append(all, fmt.Sprintf("%s=%d", why, p[why]))
	}
	return strings.Join(all, " ")
}

// allowedRegions returns the region restrictions that apply to the request. The first is the given
// restriction of the deployment or service. The second is the one that the client account had when
// the request arrived.
func (r *request) allowedRegions(regions config.Regions) []config.Regions {
	return []config.Regions{regions, r.account.AllowedRegions()}
}

// replicaFilter decides which replicas may get one request. It uses the configuration and the time
// at which the choice began.
type replicaFilter struct {
	view           *config.View
	allowedRegions []config.Regions
	tried          map[string]bool
	rests          *backpressure.RestPeriods
	now            time.Time
	// lastHall and lastHallReason cache the last result of hallExclusionReason, because replicas of
	// one data hall usually follow each other. hasLastHall is set once there is a result.
	lastHall       string
	lastHallReason reason.Reason
	hasLastHall    bool
}

// hallExclusionReason returns why a data hall must not get the request, or an empty reason.
func (c *replicaFilter) hallExclusionReason(hall string) reason.Reason {
	if !c.hasLastHall || c.lastHall != hall {
		c.lastHall, c.lastHallReason, c.hasLastHall = hall, c.view.ExclusionReason(hall, c.allowedRegions...), true
	}
	return c.lastHallReason
}

// exclusionReason returns why a replica that is reported as serving must not get the request now,
// or an empty reason. The data hall and its region are checked first because they exclude a replica
// whatever its state.
func (c *replicaFilter) exclusionReason(r *catalog.Replica) reason.Reason {
	switch why := c.hallExclusionReason(r.DataHall()); {
	case why != "":
		return why
	case len(c.tried) > 0 && c.tried[r.ID()]:
		return reason.Tried
	case isResting(c.rests, r.ID(), c.now):
		return reason.Resting
	case r.Draining():
		return reason.Leaving
	case !r.MayServe(c.now):
		// The serve deadline has passed without a new report from the domain's leader.
		return reason.Suspected
	}
	return ""
}

// countPassedOver increments the metric of each reason in passedOver by one, whatever its count.
func (g *Gateway) countPassedOver(passedOver PassedOver) {
	for why := range passedOver {
		g.opts.Meter.CountPassOver(why)
	}
}

// refuseNoReplica refuses a request for which no replica is eligible and records the decision.
func (g *Gateway) refuseNoReplica(r *request, d config.Deployment, passedOver PassedOver) *refusal {
	refused := g.refuseNoTarget(fmt.Sprintf("replica of %q", d.Name()), r.allowedRegions(d.AllowedRegions()), passedOver)
	g.decisions.Add(r.id, newRefusalDecision(r, d.Name(), refused, passedOver))
	return refused
}

// refuseNoTarget returns a refusal of a request for which no target is eligible. targetKind
// describes the kind of target in the message.
func (g *Gateway) refuseNoTarget(targetKind string, allowed []config.Regions, passedOver PassedOver) *refusal {
	why := g.noTargetReason(allowed, passedOver)
	switch {
	case why == reason.HallClosed:
		return refuse(why, "every %s that may serve is in a closed data hall", targetKind).withRetryAfter(closedHallRetryAfter)
	case why == reason.RegionNotAllowed:
		return refuse(why, "no %s serves in a region that is allowed", targetKind).withRetryAfter(longRetryAfter)
	case why == reason.Resting:
		return refuse(why, "every %s wants no requests for a while", targetKind).withRetryAfter(longRetryAfter)
	case passedOver[reason.Tried] > 0:
		return refuse(why, "no further %s serves", targetKind).withRetryAfter(shortRetryAfter)
	}
	return refuse(why, "no %s serves at present", targetKind).withRetryAfter(longRetryAfter)
}

// noTargetReason returns the reason for refusing a request for which no target is eligible. The
// reasons counted in passedOver come first. If they don't decide, the reported domains do. If all
// of them are in closed data halls or regions that are not allowed, a new replica wouldn't help.
// The reason is then HallClosed if any of them is in a closed data hall, otherwise
// RegionNotAllowed. In all other cases the reason is NoReplica.
func (g *Gateway) noTargetReason(allowed []config.Regions, passedOver PassedOver) reason.Reason {
	switch {
	case passedOver[reason.Tried] > 0:
		return reason.NoReplica
	case passedOver[reason.HallClosed] > 0:
		return reason.HallClosed
	case passedOver[reason.RegionNotAllowed] > 0:
		return reason.RegionNotAllowed
	case passedOver[reason.Resting] > 0:
		return reason.Resting
	}
	view, cause := g.opts.Config(), reason.NoReplica
	for _, report := range g.opts.Catalog.Reports() {
		switch view.ExclusionReason(report.DataHall, allowed...) {
		case reason.HallClosed:
			cause = reason.HallClosed
		case reason.RegionNotAllowed:
			if cause == reason.NoReplica {
				cause = reason.RegionNotAllowed
			}
		default:
			return reason.NoReplica
		}
	}
	return cause
}
