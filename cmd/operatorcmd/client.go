package operatorcmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"quartzshelf.dev/config"
	"quartzshelf.dev/daemon"
)

const (
	callTimeout = 12 * time.Second
	// verdictTimeout is the maximum duration of polling for the verdict on a change set whose
	// answer was lost.
	verdictTimeout      = 20 * time.Second
	verdictPollInterval = 500 * time.Millisecond
)

// client calls the operators' API of the daemons, in the order of their addresses.
type client struct {
	addresses []string
	http      *fasthttp.Client
}

func newClient(addresses []string) *client {
	return &client{addresses: addresses, http: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// apiError is an error response of a daemon.
type apiError struct {
	address string
	status  int
	Message string `json:"error"`
	// Settled is true if the action certainly did not take effect.
	Settled bool `json:"settled"`
}

// Error implements error.
func (e *apiError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.address, e.status, e.Message)
}

// get decodes the response of the first daemon that answers into reply.
func (c *client) get(path string, reply any) error {
	return c.callFirst(fasthttp.MethodGet, path, reply)
}

// callFirst calls the daemons in order until one answers with success or a client error, and
// decodes a successful response into reply.
func (c *client) callFirst(method, path string, reply any) error {
	var last error
	for _, address := range c.addresses {
		last = c.call(method, address, path, nil, reply)
		var answered *apiError
		if last == nil || errors.As(last, &answered) && answered.status < fasthttp.StatusInternalServerError {
			return last
		}
	}
	return fmt.Errorf("no daemon answered: %w", last)
}

func (c *client) call(method, address, path string, body, reply any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		request.Header.SetContentType("application/json")
		request.SetBody(encoded)
	}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		failed := &apiError{address: address, status: response.StatusCode()}
		if json.Unmarshal(response.Body(), failed) != nil {
			failed.Message = string(response.Body())
		}
		return failed
	}
	return json.Unmarshal(response.Body(), reply)
}

// listObjects returns the published objects that match the kind, the name and the selector. An
// empty argument matches all objects.
func (c *client) listObjects(kind, name, selector string) ([]daemon.ObjectRow, error) {
	query := url.Values{"kind": {kind}, "name": {name}, "selector": {selector}}
	var rows []daemon.ObjectRow
	err := c.get("/api/objects?"+query.Encode(), &rows)
	return rows, err
}

// errOutcomeUnknown means that a change set may or may not take effect.
var errOutcomeUnknown = errors.New("the outcome is not known: the change may still take effect")

// publish submits a change set to a daemon and returns the verdict. If the answer is lost,
// publish asks all daemons for the verdict. It never submits the change set a second time once a
// daemon may have accepted it.
func (c *client) publish(set config.ChangeSet) (daemon.ChangeReply, error) {
	path := "/api/changes/" + uuid.NewString()
	var reply daemon.ChangeReply
	for _, address := range c.addresses {
		err := c.call(fasthttp.MethodPost, address, path, set, &reply)
		if err == nil {
			return reply, nil
		}
		var answered *apiError
		switch {
		case errors.As(err, &answered) && answered.Settled && answered.status < fasthttp.StatusInternalServerError:
			return reply, err
		case errors.As(err, &answered) && answered.Settled:
			continue
		case isNotSent(err):
			continue
		}
		return c.awaitVerdict(path, err)
	}
	return reply, fmt.Errorf("no daemon took the change, and it did not take effect")
}

// awaitVerdict polls the daemons for the verdict on a change set whose answer was lost.
func (c *client) awaitVerdict(path string, cause error) (daemon.ChangeReply, error) {
	var reply daemon.ChangeReply
	deadline := time.Now().Add(verdictTimeout)
	for time.Now().Before(deadline) {
		for _, address := range c.addresses {
			if c.call(fasthttp.MethodGet, address, path, nil, &reply) == nil {
				return reply, nil
			}
		}
		time.Sleep(verdictPollInterval)
	}
	return reply, fmt.Errorf("%w (%w); look for it with: quartzshelf history", errOutcomeUnknown, cause)
}

// isNotSent reports whether the call failed before the request was sent.
func isNotSent(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout)
}
