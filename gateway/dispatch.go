package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"quartzshelf.dev/admission"
	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/routing"
)

// target is the replica or service endpoint chosen for one attempt.
type target struct {
	// id is the ID of the replica or of the service node.
	id      string
	address string
	// assignment names the replica and its generation, so that the endpoint can reject requests for
	// an earlier generation. It is empty for a service endpoint.
	assignment string
	// mayServe reports whether the target may still get the request. It is called right before the
	// request is sent.
	mayServe func(now time.Time) bool
	// finish removes the attempt from the in-flight count.
	finish func()
	// sentAt is when the request was sent to the target.
	sentAt time.Time
}

// globalRandSource is a rand.Source that uses the global generator of math/rand/v2.
type globalRandSource struct{}

// Uint64 implements rand.Source.
func (globalRandSource) Uint64() uint64 { return rand.Uint64() }

// random generates random numbers. It is safe for concurrent use because its source is.
var random = rand.New(globalRandSource{})

// chooser chooses the next target among those not in tried. It returns a refusal if no target is
// eligible.
type chooser func(tried map[string]bool) (*target, *refusal)

// chooseReplica returns a chooser for the replicas of a deployment.
func (g *Gateway) chooseReplica(r *request, d config.Deployment, prompt string) chooser {
	prefix := routing.PrefixHash(r.account.Name(), prompt)
	return func(tried map[string]bool) (*target, *refusal) {
		allowed := r.allowedRegions(d.AllowedRegions())
		replicas, candidates, passedOver := g.findCandidates(d.Name(), allowed, tried)
		g.countPassedOver(passedOver)
		i := routing.Pick(candidates, prefix, random)
		if i < 0 {
			return nil, g.refuseNoReplica(r, d, passedOver)
		}
		chosen := replicas[i]
		g.decisions.Add(r.id, newDecision(r, d.Name(), candidates, i, passedOver))
		return &target{
			id:         chosen.ID(),
			address:    chosen.Address(),
			assignment: cluster.Assignment{Replica: chosen.AssignedName(), Generation: chosen.Generation()}.Name(),
			mayServe: func(now time.Time) bool {
				return chosen.MayServe(now) && g.opts.Config().ExclusionReason(chosen.DataHall(), allowed...) == ""
			},
			finish: g.inFlight.Start(chosen.ID(), r.account.Name()),
		}, nil
	}
}

// findCandidates returns the replicas that may get the request now, and a routing candidate for
// each of them in the same order. It also counts the excluded replicas by reason.
func (g *Gateway) findCandidates(deployment string, allowed []config.Regions, tried map[string]bool) ([]*catalog.Replica, []routing.Candidate, PassedOver) {
	filter := replicaFilter{view: g.opts.Config(), allowedRegions: allowed, tried: tried, rests: g.rests, now: time.Now()}
	all := g.opts.Catalog.ReplicasOf(deployment)
	replicas := make([]*catalog.Replica, 0, len(all))
	candidates := make([]routing.Candidate, 0, len(all))
	var passedOver PassedOver
	for i := range all {
		replica := &all[i]
		if !replica.ReportedServing() {
			continue
		}
		if why := filter.exclusionReason(replica); why != "" {
			passedOver = passedOver.add(why)
			continue
		}
		inFlight, inFlightAtReport := g.inFlight.Observe(replica.ID(), replica.Deadline())
		load := replica.Load()
		replicas = append(replicas, replica)
		candidates = append(candidates, routing.Candidate{
			ID: replica.ID(), OwnInFlight: inFlight, OwnInFlightAtReport: inFlightAtReport,
			Reported: load.Active() + load.Queue(), Slots: load.Slots(),
		})
	}
	return replicas, candidates, passedOver
}

// admit checks the account's rate limit and the load of the deployment. It returns nil if the
// request is admitted, and otherwise a refusal.
func (g *Gateway) admit(r *request, d config.Deployment) *refusal {
	if ok, wait := g.opts.Limiter.Allow(r.account.Name(), r.account.RequestsPerSecond()); !ok {
		return refuse(reason.AccountLimit, "client account %q is over its limit of %g requests a second",
			r.account.Name(), r.account.RequestsPerSecond()).withRetryAfter(wait)
	}
	_, candidates, passedOver := g.findCandidates(d.Name(), r.allowedRegions(d.AllowedRegions()), nil)
	if len(candidates) == 0 {
		g.countPassedOver(passedOver)
		return g.refuseNoReplica(r, d, passedOver)
	}
	accountRequests, activeAccounts := g.inFlight.Account(r.account.Name())
	refused := admission.Decide(admission.Situation{
		ReportedOccupancy: routing.MeanOccupancy(candidates),
		InFlight:          routing.TotalOwnInFlight(candidates),
		Slots:             routing.Slots(candidates),
		Daemons:           g.opts.DaemonCount(),
		AccountInFlight:   accountRequests,
		Accounts:          activeAccounts,
		Priority:          r.priority,
	})
	if refused == nil {
		return nil
	}
	return refuse(refused.Reason(), "the replicas of %q are busy", d.Name()).withRetryAfter(refused.RetryAfter())
}

// attempt is a request that was sent to one target and whose answer has begun to arrive.
type attempt struct {
	target   *target
	response *http.Response
	// cancel aborts this attempt but not the request.
	cancel context.CancelFunc
}

// close closes the answer's body, cancels the attempt and removes it from the in-flight count.
func (a *attempt) close() {
	closeBody(a.response)
	a.cancel()
	a.target.finish()
}

// nextTarget chooses the next target. It returns a refusal if the request is quarantined or no
// target is eligible.
func (g *Gateway) nextTarget(r *request, choose chooser, tried map[string]bool) (*target, *refusal) {
	if f := g.checkQuarantine(r, time.Now()); f != nil {
		return nil, f
	}
	return choose(tried)
}

// openAttempt sends the request to one target after another until one begins to answer or ctx ends.
// A request that must not be repeated is sent to another target only if the previous one certainly
// did not run it. Before each attempt, openAttempt calls maySend, which reports whether the request
// may still be sent. The attempt ends when ctx ends.
func (g *Gateway) openAttempt(ctx context.Context, r *request, body []byte, choose chooser, tried map[string]bool, maySend func(time.Time) bool) (*attempt, *refusal) {
	for {
		t, refused := g.nextTarget(r, choose, tried)
		if refused != nil {
			return nil, r.adjustRan(refused)
		}
		tried[t.id] = true
		now := time.Now()
		if !t.mayServe(now) {
			t.finish()
			continue
		}
		if !maySend(now) {
			t.finish()
			return nil, r.adjustRan(refuse(reason.KeyExpired, "the claim of the key ran out before the request was sent"))
		}
		t.sentAt = now
		a, attemptRefusal := g.sendAttempt(ctx, r, body, t)
		if attemptRefusal == nil {
			return a, nil
		}
		t.finish()
		ran := attemptRefusal.ran
		attemptRefusal = r.adjustRan(attemptRefusal)
		retry := retryReason(attemptRefusal.reason, ran, r.repeatable)
		if retry == "" || len(tried) >= maxAttempts || ctx.Err() != nil {
			return nil, attemptRefusal
		}
		if !g.retryBudget.takeRetry() {
			return nil, refuse(reason.RetryBudgetExhausted, "%s; the budget of retries is used up", attemptRefusal.message).
				withRan(attemptRefusal.ran).withRetryAfter(shortRetryAfter)
		}
		g.opts.Meter.CountRetry(retry)
	}
}

// retryReason returns the reason to record for a retry of a failed attempt. It is empty if the
// attempt must not be retried.
func retryReason(why reason.Reason, ran reason.Ran, repeatable bool) reason.Reason {
	switch {
	case why == reason.EndpointUnreachable:
		return reason.RetryUnreachable
	case why == reason.EndpointRefused:
		return reason.RetryRefused
	case repeatable && ran == reason.RanUnknown:
		return reason.RetryBroken
	default:
		return ""
	}
}

// sendAttempt sends the request to one target and returns once the answer has begun to arrive. It
// returns a refusal if there is no answer or the target refused the request.
func (g *Gateway) sendAttempt(ctx context.Context, r *request, body []byte, t *target) (*attempt, *refusal) {
	header := r.header.Clone()
	header.Set(cluster.HeaderPriority, strconv.Itoa(r.priority))
	if t.assignment != "" {
		header.Set(cluster.HeaderAssignment, t.assignment)
	}
	ctx, cancel := context.WithCancel(ctx)
	response, err := g.upstream.send(ctx, upstreamCall{
		method: r.method, address: t.address, path: r.path, header: header,
		body: body, repeatable: r.repeatable, requestID: r.id,
	})
	if err != nil {
		cancel()
		attemptRefusal := refusalFromError(err)
		if attemptRefusal.ran != reason.RanNo {
			g.reportBrokenAttempt(r, t, err)
		}
		return nil, attemptRefusal
	}
	g.recordRestPeriod(t.id, response)
	if wasRefusedBeforeStart(response) {
		closeBody(response)
		cancel()
		if response.StatusCode == http.StatusBadRequest {
			return nil, refuse(reason.BadRequest, "%s refused the request as malformed", t.id)
		}
		return nil, refuse(reason.EndpointRefused, "%s refused the request before starting it", t.id).withRetryAfter(shortRetryAfter)
	}
	return &attempt{target: t, response: response, cancel: cancel}, nil
}

// refusalFromError converts an error from upstream into a refusal that says whether the request may
// have run.
func refusalFromError(err error) *refusal {
	var sendErr *sendError
	maybeSent := !errors.As(err, &sendErr) || sendErr.maybeSent
	switch {
	case !maybeSent:
		return refuse(reason.EndpointUnreachable, "%v", err).withRetryAfter(shortRetryAfter)
	case errors.Is(err, errWrongRequest):
		return refuse(reason.EndpointAnswerMismatch, "%v", err).withRan(reason.RanUnknown)
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(reason.EndpointTimeout, "%v", err).withRan(reason.RanUnknown)
	default:
		return refuse(reason.EndpointBroken, "%v", err).withRan(reason.RanUnknown)
	}
}
