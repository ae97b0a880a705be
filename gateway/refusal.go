// Package gateway serves the HTTP API for callers. It authenticates, admits, routes and retries
// requests, relays their answers, and reports for each failed request whether it ran.
package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/common/reason"
)

// Headers of answers to callers.
const (
	headerRequest  = "Quartzshelf-Request"
	headerReplica  = "Quartzshelf-Replica"
	headerReplayed = "Quartzshelf-Replayed"
)

// refusal is the final error answer to a request.
type refusal struct {
	reason     reason.Reason
	ran        reason.Ran
	message    string
	retryAfter time.Duration
}

var _ error = (*refusal)(nil)

// Error implements error.
func (r *refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.reason, r.ran, r.message)
}

// refuse returns a refusal that reports the request as not run. Use withRan for any other state.
func refuse(why reason.Reason, format string, args ...any) *refusal {
	return &refusal{reason: why, ran: reason.RanNo, message: fmt.Sprintf(format, args...)}
}

// withRetryAfter sets the Retry-After header of the refusal.
func (r *refusal) withRetryAfter(wait time.Duration) *refusal {
	r.retryAfter = wait
	return r
}

// withRan sets whether the request ran.
func (r *refusal) withRan(ran reason.Ran) *refusal {
	r.ran = ran
	return r
}

// statusByReason maps reasons to HTTP status codes. The default is 503 Service Unavailable.
var statusByReason = map[reason.Reason]int{
	reason.Unauthorized:           http.StatusUnauthorized,
	reason.UnknownModel:           http.StatusNotFound,
	reason.UnknownService:         http.StatusNotFound,
	reason.NotFound:               http.StatusNotFound,
	reason.BadRequest:             http.StatusBadRequest,
	reason.WrongMethod:            http.StatusMethodNotAllowed,
	reason.BodyTooLarge:           http.StatusRequestEntityTooLarge,
	reason.AccountLimit:           http.StatusTooManyRequests,
	reason.FairShare:              http.StatusTooManyRequests,
	reason.KeyBodyMismatch:        http.StatusUnprocessableEntity,
	reason.KeyInvalid:             http.StatusBadRequest,
	reason.KeyExpired:             http.StatusGone,
	reason.KeyPending:             http.StatusConflict,
	reason.KeyHolderGone:          http.StatusConflict,
	reason.EndpointBroken:         http.StatusBadGateway,
	reason.EndpointAnswerMismatch: http.StatusBadGateway,
	reason.EndpointTimeout:        http.StatusGatewayTimeout,
	reason.ConfigurationClash:     http.StatusConflict,
}

func (r *refusal) status() int {
	if code, ok := statusByReason[r.reason]; ok {
		return code
	}
	return http.StatusServiceUnavailable
}

// errorType returns the error type as defined by the OpenAI API.
func (r *refusal) errorType() string {
	switch code := r.status(); {
	case code == http.StatusUnauthorized:
		return "authentication_error"
	case code == http.StatusTooManyRequests:
		return "rate_limit_error"
	case code < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// errorBody is the JSON body of an error answer. It has the error object of the OpenAI API and two
// additional fields.
type errorBody struct {
	Error  errorDetail   `json:"error"`
	Ran    reason.Ran    `json:"ran"`
	Reason reason.Reason `json:"reason"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    reason.Reason `json:"code"`
	Param   *string       `json:"param"`
}

func (r *refusal) body() []byte {
	data, err := json.Marshal(errorBody{
		Error:  errorDetail{Message: r.message, Type: r.errorType(), Code: r.reason},
		Ran:    r.ran,
		Reason: r.reason,
	})
	if err != nil {
		// All fields are strings or nil, so encoding can't fail.
		panic(err)
	}
	return data
}

// write sends the refusal as the answer.
func (r *refusal) write(c *fiber.Ctx) error {
	if r.retryAfter > 0 {
		seconds := int((r.retryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(r.status()).Send(r.body())
}
