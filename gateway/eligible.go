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

// closedHallRetryAfter is the Retry-After of a request that only closed data halls could serve. It
// is longer than the time until all daemons know that a hall has opened.
const closedHallRetryAfter = 15 * time.Second

// PassedOver counts, by reason, the replicas or endpoints excluded from a choice.
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

// allowedRegions returns the region restrictions of the request: those of the deployment or
// service, and those that its client account had when the request arrived.
func (r *request) allowedRegions(regions config.Regions) []config.Regions {
	return []config.Regions{regions, r.account.AllowedRegions()}
}

// replicaFilter holds the criteria that replicas are checked against in one choice.
type replicaFilter struct {
	view    *config.View
	allowed []config.Regions
	tried   map[string]bool
	rests   *backpressure.Rests
	now     time.Time
	// lastHall and lastHallReason cache the last call of hallExclusionReason, as replicas of one
	// data hall are usually listed together.
	lastHall       string
	lastHallReason reason.Reason
	hasLastHall    bool
}

// hallExclusionReason returns why a data hall must not get the request, or an empty reason.
func (c *replicaFilter) hallExclusionReason(hall string) reason.Reason {
	if !c.hasLastHall || c.lastHall != hall {
		c.lastHall, c.lastHallReason, c.hasLastHall = hall, c.view.KeptOut(hall, c.allowed...), true
	}
	return c.lastHallReason
}

// exclusionReason returns why a replica that is reported as serving must not get the request now,
// or an empty reason. The data hall and its region come first because they apply whatever the
// replica's state.
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

// countPassedOver updates the metrics: once for each reason in passed.
func (g *Gateway) countPassedOver(passed PassedOver) {
	for why := range passed {
		g.opts.Meter.PassOver(why)
	}
}

// refuseNoReplica refuses a request for which no replica is eligible and records the decision.
func (g *Gateway) refuseNoReplica(r *request, d config.Deployment, passed PassedOver) *refusal {
	refused := g.refuseWithout(fmt.Sprintf("replica of %q", d.Name()), r.allowedRegions(d.AllowedRegions()), passed)
	g.decisions.Add(r.id, newRefusedDecision(r, d.Name(), refused, passed))
	return refused
}

// refuseWithout refuses a request for which no target is eligible. The message names the kind of
// target in what.
func (g *Gateway) refuseWithout(what string, allowed []config.Regions, passed PassedOver) *refusal {
	why := g.noTargetReason(allowed, passed)
	switch {
	case why == reason.HallClosed:
		return refuse(why, "every %s that may serve is in a closed data hall", what).withRetryAfter(closedHallRetryAfter)
	case why == reason.RegionNotAllowed:
		return refuse(why, "no %s serves in a region that is allowed", what).withRetryAfter(longRetryAfter)
	case why == reason.Resting:
		return refuse(why, "every %s wants no requests for a while", what).withRetryAfter(longRetryAfter)
	case passed[reason.Tried] > 0:
		return refuse(why, "no further %s serves", what).withRetryAfter(shortRetryAfter)
	}
	return refuse(why, "no %s serves at present", what).withRetryAfter(longRetryAfter)
}

// noTargetReason returns the reason for a refusal without an eligible target. If no target was
// excluded because of its data hall or region, this is still the reason when every known data hall
// is excluded: a new or repaired replica could not take the request either.
func (g *Gateway) noTargetReason(allowed []config.Regions, passed PassedOver) reason.Reason {
	switch {
	case passed[reason.Tried] > 0:
		return reason.NoReplica
	case passed[reason.HallClosed] > 0:
		return reason.HallClosed
	case passed[reason.RegionNotAllowed] > 0:
		return reason.RegionNotAllowed
	case passed[reason.Resting] > 0:
		return reason.Resting
	}
	view, cause := g.opts.Config(), reason.NoReplica
	for _, report := range g.opts.Catalog.Reports() {
		switch view.KeptOut(report.DataHall, allowed...) {
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
