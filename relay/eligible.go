package relay

import (
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/eligibility"
	"quartzshelf.dev/fleet"
)

// eligible returns which replicas may take a request now, and counts what was passed over.
func (r *Relay) eligible(c *request, now time.Time) eligibility.Selection {
	view := r.opts.View()
	rules := r.rules(now)
	request := eligibility.Request{Route: c.route.Regions, Tried: c.tried}
	if c.tenant != nil {
		request.Account = c.tenant.Regions
	}
	selection := rules.Select(&request, view.Replicas(c.service, c.model))
	if counts := selection.Counts(); counts.Any() {
		c.passedOver = counts.String()
		counts.Each(func(cause eligibility.Cause, _ int) { r.opts.Meter.PassOver(cause.Reason()) })
	}
	if view.Leaving(c.service, c.model) > 0 {
		r.opts.Meter.PassOver(reason.Leaving)
	}
	return selection
}

// rules returns what replicas are judged by now. What keeps nothing out costs nothing.
func (r *Relay) rules(now time.Time) *eligibility.Rules {
	rules := &eligibility.Rules{Region: r.opts.RegionOf, Suspected: r.opts.Tracker.suspects(now)}
	if r.opts.Halls != nil {
		if halls := r.opts.Halls(); !halls.AllOpen() {
			rules.Hall = func(hall string) fleet.HallState { return halls.State(hall, now) }
		}
	}
	rules.WarmUp, rules.Limit, rules.Rested = r.opts.WarmUp.check(now), r.opts.Limits.check(now), r.opts.Rests.check(now)
	return rules
}

// noneEligible returns the refusal of a request that no replica may take, by what kept
// the most of them out.
func (r *Relay) noneEligible(c *request, counts eligibility.Counts, now time.Time) *refusal {
	f := unavailable(reason.NoReplica, "no replica serves at present", retryBusy)
	switch counts.Most() {
	case eligibility.Hall:
		f = unavailable(reason.HallClosed, "the data halls that serve this are closed", retryClosed)
	case eligibility.Region:
		f = unavailable(reason.RegionNotAllowed, "no replica serves in the regions that are allowed", retryClosed)
	case eligibility.WarmUp, eligibility.Limited, eligibility.Resting:
		f = r.bounded(c, counts.Most().Reason(), now)
	}
	f.passedOver = counts.String()
	return f
}
