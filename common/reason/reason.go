// Package reason lists the reasons for which requests are refused, retried or late. The
// same names appear as labels of metrics, in the reason field of error answers, and as
// headings on the operators' page.
package reason

// Reason is why a request was refused, retried or late, or why a replica was passed over.
type Reason string

// Reasons of refusals. A refused request was not run unless the answer says otherwise.
const (
	Unauthorized           Reason = "unauthorized"
	UnknownModel           Reason = "unknown_model"
	UnknownService         Reason = "unknown_service"
	NotFound               Reason = "not_found"
	BadRequest             Reason = "bad_request"
	WrongMethod            Reason = "method_not_allowed"
	BodyTooLarge           Reason = "body_too_large"
	NoReplica              Reason = "no_replica"
	Overloaded             Reason = "overloaded"
	AccountLimit           Reason = "account_limit"
	FairShare              Reason = "fair_share"
	Starting               Reason = "starting"
	Stopping               Reason = "stopping"
	Isolated               Reason = "isolated"
	IntentLogUnavailable   Reason = "intent_log_unavailable"
	KeyBodyMismatch        Reason = "key_body_mismatch"
	KeyInvalid             Reason = "key_invalid"
	KeyExpired             Reason = "key_expired"
	KeyPending             Reason = "key_pending"
	KeyHolderGone          Reason = "key_holder_gone"
	RetryBudgetExhausted   Reason = "retry_budget_exhausted"
	EndpointRefused        Reason = "endpoint_refused"
	EndpointUnreachable    Reason = "endpoint_unreachable"
	EndpointBroken         Reason = "endpoint_broken"
	EndpointTimeout        Reason = "endpoint_timeout"
	EndpointAnswerMismatch Reason = "endpoint_answer_mismatch"
	ConfigurationClash     Reason = "configuration_clash"
	HallClosed             Reason = "hall_closed"
	RegionNotAllowed       Reason = "region_not_allowed"
	WarmUp                 Reason = "warm_up"
	// Limited means that the limits set by the workers are reached.
	Limited Reason = "limited"
	// Resting means that the workers asked this daemon to send no requests for a while.
	Resting Reason = "resting"
	// MemoryBound means that the daemon's limit on bytes held for callers is reached.
	MemoryBound Reason = "memory_bound"
	// Quarantined means that the request is blocked because workers crashed while running it.
	Quarantined Reason = "quarantined"
)

// Reasons for which only a replica is passed over. They are not reasons of refusals.
const (
	Tried     Reason = "tried"
	Suspected Reason = "suspected"
	Leaving   Reason = "leaving"
)

// Reasons for which a request was sent again, to another replica unless stated otherwise.
const (
	RetryUnreachable Reason = "retry_unreachable"
	RetryRefused     Reason = "retry_refused"
	RetryBroken      Reason = "retry_broken"
	RetryResumed     Reason = "retry_resumed"
	// RetryResent means that the request was sent to the same worker again, because the worker had
	// reset a kept connection.
	RetryResent Reason = "retry_resent"
)

// Reasons for which a stream was late although the caller received all of it.
const (
	// LateRetried means that attempts failed before the first event.
	LateRetried Reason = "late_retried"
	// LateFull means that the first event was late, at a replica with few free slots.
	LateFull Reason = "late_full"
	// LateFirstEvent means that the first event was late, at a replica with enough free slots.
	// The request waited for other prompts, or the worker was slow.
	LateFirstEvent Reason = "late_first"
	// LateResumed means that the stream broke or stalled, and was resumed at another replica.
	LateResumed Reason = "late_resumed"
	// LatePaused means that the stream paused at one replica and was continued there.
	LatePaused Reason = "late_pause"
)

// Lateness returns every reason for which a stream was late.
func Lateness() []Reason {
	return []Reason{LateRetried, LateFull, LateFirstEvent, LateResumed, LatePaused}
}

// Refusals returns every reason of a refusal.
func Refusals() []Reason {
	return []Reason{
		Unauthorized, UnknownModel, UnknownService, NotFound, BadRequest, WrongMethod, BodyTooLarge,
		NoReplica, Overloaded, AccountLimit, FairShare, Starting, Stopping, Isolated,
		IntentLogUnavailable, KeyBodyMismatch, KeyInvalid, KeyExpired, KeyPending, KeyHolderGone, RetryBudgetExhausted,
		EndpointRefused, EndpointUnreachable, EndpointBroken, EndpointTimeout, EndpointAnswerMismatch,
		ConfigurationClash, HallClosed, RegionNotAllowed, WarmUp, Limited, Resting, MemoryBound, Quarantined,
	}
}

// PassedOver returns every reason for which replicas are passed over when one is chosen.
func PassedOver() []Reason {
	return []Reason{Tried, RegionNotAllowed, HallClosed, WarmUp, Limited, Resting, Suspected, Leaving}
}

// Retries returns every reason of a retry.
func Retries() []Reason {
	return []Reason{RetryUnreachable, RetryRefused, RetryBroken, RetryResumed, RetryResent}
}

// Ran is what an error answer states about whether the request was run.
type Ran string

// Values of Ran.
const (
	// RanNo means that the request was not run and never will be.
	RanNo Ran = "no"
	// RanUnknown means that the request was sent and may or may not have been run.
	RanUnknown Ran = "unknown"
	// RanYes means that the request was run.
	RanYes Ran = "yes"
)
