package operatorcmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"quartzshelf.dev/common/answercheck"
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
	http      *http.Client
}

func newClient(addresses []string) *client {
	transport := answercheck.NewTransport(&http.Transport{})
	return &client{addresses: addresses, http: &http.Client{Timeout: callTimeout, Transport: transport}}
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
	return c.callFirst(http.MethodGet, path, reply)
}

// callFirst calls the daemons in order until one answers with success or a client error, and
// decodes a successful response into reply.
func (c *client) callFirst(method, path string, reply any) error {
	var last error
	for _, address := range c.addresses {
		last = c.call(method, address, path, nil, reply)
		var answered *apiError
		if last == nil || errors.As(last, &answered) && answered.status < http.StatusInternalServerError {
			return last
		}
	}
	return fmt.Errorf("no daemon answered: %w", last)
}

func (c *client) call(method, address, path string, body, reply any) error {
	request, err := newRequest(method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	if response.StatusCode != http.StatusOK {
		failed := &apiError{address: address, status: response.StatusCode}
		if json.Unmarshal(data, failed) != nil {
			failed.Message = string(data)
		}
		return failed
	}
	return json.Unmarshal(data, reply)
}

// newRequest returns a request that is never sent twice. If body is not nil, it is sent as JSON.
func newRequest(method, target string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequest(method, target, http.NoBody)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(method, target, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	// Prevents the HTTP client from resending a change that may have been received.
	request.GetBody = nil
	return request, nil
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
		err := c.call(http.MethodPost, address, path, set, &reply)
		if err == nil {
			return reply, nil
		}
		var answered *apiError
		switch {
		case errors.As(err, &answered) && answered.Settled && answered.status < http.StatusInternalServerError:
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
			if c.call(http.MethodGet, address, path, nil, &reply) == nil {
				return reply, nil
			}
		}
		time.Sleep(verdictPollInterval)
	}
	return reply, fmt.Errorf("%w (%w); look for it with: quartzshelf history", errOutcomeUnknown, cause)
}

// isNotSent reports whether the call failed before the request was sent.
func isNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
