package proxy

import (
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/eligibility"
	"quartzshelf.dev/fleet"
)

// selectReplicas classifies the replicas for a request. It records the counts of those passed over
// in the request, and each cause once in the meter.
func (p *Proxy) selectReplicas(c *request, now time.Time) eligibility.Selection {
	view := p.opts.View()
	rules := p.rules(now)
	request := eligibility.Request{RouteRegions: c.route.Regions, Tried: c.triedReplicas}
	if c.tenant != nil {
		request.AccountRegions = c.tenant.Regions
	}
	selection := rules.Select(&request, view.Replicas(c.service, c.model))
	if counts := selection.Counts(); counts.HasAny() {
		c.passedOver = counts.String()
		counts.ForEach(func(cause eligibility.Cause, _ int) { p.opts.Meter.CountPassOver(cause.Reason()) })
	}
	if view.Leaving(c.service, c.model) > 0 {
		p.opts.Meter.CountPassOver(reason.Leaving)
	}
	return selection
}

// rules returns the current rules for replicas; checks that would exclude nothing are nil.
func (p *Proxy) rules(now time.Time) *eligibility.Rules {
	rules := &eligibility.Rules{RegionOf: p.opts.RegionOf, IsSuspected: p.opts.Tracker.suspectCheck(now)}
	if p.opts.Halls != nil {
		if halls := p.opts.Halls(); !halls.AllOpen() {
			rules.HallState = func(hall string) fleet.HallState { return halls.State(hall, now) }
		}
	}
	rules.HasWarmUpRoom, rules.HasLimitRoom, rules.AcceptsRequests = p.opts.WarmUpLimit.checker(now), p.opts.WorkerLimit.checker(now), p.opts.RestLimit.checker(now)
	return rules
}

// noReplicaRefusal returns the refusal of a request that no replica may take. Its reason follows
// from the most frequent cause.
func (p *Proxy) noReplicaRefusal(c *request, counts eligibility.Counts, now time.Time) *refusal {
	f := newUnavailable(reason.NoReplica, "no replica serves at present", retryBusy)
	switch counts.MostFrequent() {
	case eligibility.HallNotOpen:
		f = newUnavailable(reason.HallClosed, "the data halls that serve this are closed", retryClosed)
	case eligibility.RegionNotAllowed:
		f = newUnavailable(reason.RegionNotAllowed, "no replica serves in the regions that are allowed", retryClosed)
	case eligibility.WarmingUp, eligibility.Limited, eligibility.Resting:
		f = p.boundRefusal(c, counts.MostFrequent().Reason(), now)
	}
	f.passedOver = counts.String()
	return f
}
