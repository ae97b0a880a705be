// Package gateway serves callers: it authenticates, admits, routes, relays and
// retries their requests, and says of each one that fails whether it ran.
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

// refusal is the final answer to a request that has no result.
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

// refuse returns a refusal of a request of which nothing was sent.
func refuse(why reason.Reason, format string, args ...any) *refusal {
	return &refusal{reason: why, ran: reason.RanNo, message: fmt.Sprintf(format, args...)}
}

// after sets when the caller should come again.
func (r *refusal) after(wait time.Duration) *refusal {
	r.retryAfter = wait
	return r
}

// withRan sets whether the request ran.
func (r *refusal) withRan(ran reason.Ran) *refusal {
	r.ran = ran
	return r
}

// statusOf maps reasons to HTTP statuses; the rest are unavailable.
var statusOf = map[reason.Reason]int{
	reason.Unauthorized:       http.StatusUnauthorized,
	reason.UnknownModel:       http.StatusNotFound,
	reason.UnknownService:     http.StatusNotFound,
	reason.NotFound:           http.StatusNotFound,
	reason.BadRequest:         http.StatusBadRequest,
	reason.WrongMethod:        http.StatusMethodNotAllowed,
	reason.BodyTooLarge:       http.StatusRequestEntityTooLarge,
	reason.AccountLimit:       http.StatusTooManyRequests,
	reason.FairShare:          http.StatusTooManyRequests,
	reason.KeyMismatch:        http.StatusUnprocessableEntity,
	reason.KeyInvalid:         http.StatusBadRequest,
	reason.KeyExpired:         http.StatusGone,
	reason.KeyPending:         http.StatusConflict,
	reason.KeyHolderGone:      http.StatusConflict,
	reason.EndpointBroken:     http.StatusBadGateway,
	reason.EndpointCrossed:    http.StatusBadGateway,
	reason.EndpointTimeout:    http.StatusGatewayTimeout,
	reason.ConfigurationClash: http.StatusConflict,
}

func (r *refusal) status() int {
	if code, ok := statusOf[r.reason]; ok {
		return code
	}
	return http.StatusServiceUnavailable
}

// kind returns the error type of the OpenAI API.
func (r *refusal) kind() string {
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

// errorBody is the JSON of an error, in the shape of the OpenAI API with our
// fields beside it.
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
		Error:  errorDetail{Message: r.message, Type: r.kind(), Code: r.reason},
		Ran:    r.ran,
		Reason: r.reason,
	})
	if err != nil {
		// The body holds strings alone, which always encode.
		panic(err)
	}
	return data
}

// write answers the request with the refusal.
func (r *refusal) write(c *fiber.Ctx) error {
	if r.retryAfter > 0 {
		seconds := int((r.retryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(r.status()).Send(r.body())
}
