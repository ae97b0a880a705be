// Package reason names every cause for which a request is refused or retried.
// The names are the labels of the counters, the reason field of error answers
// and the headings of the operators' page, so that one word leads to all three.
package reason

// Reason is a cause of a refusal or a retry.
type Reason string

// Reasons of refusals: nothing of the request ran unless the answer says so.
const (
	Unauthorized       Reason = "unauthorized"
	UnknownModel       Reason = "unknown_model"
	UnknownService     Reason = "unknown_service"
	NotFound           Reason = "not_found"
	BadRequest         Reason = "bad_request"
	WrongMethod        Reason = "method_not_allowed"
	BodyTooLarge       Reason = "body_too_large"
	NoReplica          Reason = "no_replica"
	Overloaded         Reason = "overloaded"
	AccountLimit       Reason = "account_limit"
	FairShare          Reason = "fair_share"
	Starting           Reason = "starting"
	Stopping           Reason = "stopping"
	Isolated           Reason = "isolated"
	IntentLog          Reason = "intent_log_unavailable"
	KeyMismatch        Reason = "key_body_mismatch"
	KeyInvalid         Reason = "key_invalid"
	KeyExpired         Reason = "key_expired"
	KeyPending         Reason = "key_pending"
	KeyHolderGone      Reason = "key_holder_gone"
	RetryBudget        Reason = "retry_budget_exhausted"
	EndpointRefused    Reason = "endpoint_refused"
	EndpointUnreached  Reason = "endpoint_unreachable"
	EndpointBroken     Reason = "endpoint_broken"
	EndpointTimeout    Reason = "endpoint_timeout"
	EndpointCrossed    Reason = "endpoint_answer_mismatch"
	ConfigurationClash Reason = "configuration_clash"
	HallClosed         Reason = "hall_closed"
	RegionNotAllowed   Reason = "region_not_allowed"
	WarmUp             Reason = "warm_up"
	// Limited: the workers named limits that leave no room now.
	Limited Reason = "limited"
	// Resting: the workers want nothing from this daemon for a while.
	Resting Reason = "resting"
	// MemoryBound: the daemon holds as many bytes for callers as it may.
	MemoryBound Reason = "memory_bound"
	// Quarantined: the request ended the workers that ran it.
	Quarantined Reason = "quarantined"
)

// Reasons for which a replica is passed over that refuse no request by themselves.
const (
	Tried     Reason = "tried"
	Suspected Reason = "suspected"
	Leaving   Reason = "leaving"
)

// Reasons of retries: the request was sent again to another replica.
const (
	RetryUnreached Reason = "retry_unreachable"
	RetryRefused   Reason = "retry_refused"
	RetryBroken    Reason = "retry_broken"
	RetryResumed   Reason = "retry_resumed"
)

// Reasons for which a stream was late, though its caller got all of it.
const (
	// LateRetried: attempts failed before the first event.
	LateRetried Reason = "late_retried"
	// LateFull: the first event was late at a replica whose slots were nearly all taken.
	LateFull Reason = "late_full"
	// LateFirst: it was late at another one, behind prompts or a slow worker.
	LateFirst Reason = "late_first"
	// LateResumed: the stream broke or stood still, and went on elsewhere.
	LateResumed Reason = "late_resumed"
	// LatePause: there was a pause at one replica.
	LatePause Reason = "late_pause"
)

// Lateness returns every reason for which a stream was late.
func Lateness() []Reason {
	return []Reason{LateRetried, LateFull, LateFirst, LateResumed, LatePause}
}

// Refusals returns every reason of a refusal.
func Refusals() []Reason {
	return []Reason{
		Unauthorized, UnknownModel, UnknownService, NotFound, BadRequest, WrongMethod, BodyTooLarge,
		NoReplica, Overloaded, AccountLimit, FairShare, Starting, Stopping, Isolated,
		IntentLog, KeyMismatch, KeyInvalid, KeyExpired, KeyPending, KeyHolderGone, RetryBudget,
		EndpointRefused, EndpointUnreached, EndpointBroken, EndpointTimeout, EndpointCrossed,
		ConfigurationClash, HallClosed, RegionNotAllowed, WarmUp, Limited, Resting, MemoryBound, Quarantined,
	}
}

// PassedOver returns every reason for which replicas are passed over in a choice.
func PassedOver() []Reason {
	return []Reason{Tried, RegionNotAllowed, HallClosed, WarmUp, Limited, Resting, Suspected, Leaving}
}

// Retries returns every reason of a retry.
func Retries() []Reason {
	return []Reason{RetryUnreached, RetryRefused, RetryBroken, RetryResumed}
}

// Ran tells whether a request ran.
type Ran string

// The three things that an error answer can say about a request.
const (
	// RanNo promises that the request was not run and never will be.
	RanNo Ran = "no"
	// RanUnknown says that the request was sent and its fate is not known.
	RanUnknown Ran = "unknown"
	// RanYes says that the request ran.
	RanYes Ran = "yes"
)
