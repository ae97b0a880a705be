// Package client is an HTTP client for the platform's log, node list and nodes. Package
// standin/server serves simulations of them.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/failure"
)

// Limits of calls.
const (
	// callTimeout bounds a call whose context has no deadline.
	callTimeout = 5 * time.Second
	// maxResponseBytes limits the body of a response, maxResponseHeadBytes its head.
	maxResponseBytes     = 64 << 20
	maxResponseHeadBytes = 16 << 10
	// maxIdleConns limits the idle connections to one address, idleTimeout how long they are kept.
	maxIdleConns = 16
	idleTimeout  = 10 * time.Second
)

// Client calls the platform over HTTP. It implements cluster.Log, cluster.NodeList and
// cluster.NodeControl. It never retries a call, so the caller must handle lost responses.
type Client struct {
	logURL   string
	nodesURL string
	http     *http.Client
	logger   hclog.Logger
}

var (
	_ cluster.Log         = (*Client)(nil)
	_ cluster.NodeList    = (*Client)(nil)
	_ cluster.NodeControl = (*Client)(nil)
)

// Options holds the addresses of the platform.
type Options struct {
	// LogAddress and NodeListAddress are IP:port pairs.
	LogAddress      string
	NodeListAddress string
	// Logger logs invalid entries of the node list. If it is nil, nothing is logged.
	Logger hclog.Logger
}

// New returns a client for the addresses in opts. It doesn't connect yet.
func New(opts Options) *Client {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	return &Client{
		logger:   opts.Logger,
		logURL:   "http://" + opts.LogAddress,
		nodesURL: "http://" + opts.NodeListAddress,
		http: answercheck.NewClient(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
		}),
	}
}

type appendRequest struct {
	Records []cluster.Record `json:"records"`
}

type appendReply struct {
	First int64 `json:"first"`
}

// Append implements cluster.Log.
func (c *Client) Append(ctx context.Context, stream string, records []cluster.Record) (int64, error) {
	var reply appendReply
	target := c.logURL + "/log/" + url.PathEscape(stream)
	err := c.call(ctx, "append to log", http.MethodPost, target, appendRequest{Records: records}, &reply)
	return reply.First, err
}

// Read implements cluster.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (cluster.Batch, error) {
	var batch cluster.Batch
	target := fmt.Sprintf("%s/log/%s?from=%d&limit=%d&wait_ms=%d",
		c.logURL, url.PathEscape(stream), from, limit, wait.Milliseconds())
	err := c.call(ctx, "read log", http.MethodGet, target, nil, &batch)
	return batch, err
}

// State implements cluster.NodeControl.
func (c *Client) State(ctx context.Context, address string) (cluster.NodeState, error) {
	var state cluster.NodeState
	err := c.call(ctx, "probe node", http.MethodGet, "http://"+address+"/control/state", nil, &state)
	return state, err
}

// Order implements cluster.NodeControl.
func (c *Client) Order(ctx context.Context, address string, order cluster.Order) (cluster.OrderReply, error) {
	var reply cluster.OrderReply
	err := c.call(ctx, "order node", http.MethodPost, "http://"+address+"/control/order", order, &reply)
	return reply, err
}

// failureTypeOf returns the failure type of a transport error. It is Refused if no connection could
// be opened, because nothing was sent in that case. Otherwise it is Unavailable.
func failureTypeOf(err error) *errorx.Type {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.Refused
	}
	return failure.Unavailable
}

// call sends a request to the URL target and decodes the JSON response into reply. If body is not
// nil, it is sent as JSON. step names the operation in errors.
func (c *Client) call(ctx context.Context, step, method, target string, body, reply any) error {
	data, err := c.exchange(ctx, step, method, target, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return failure.Wrap(failure.Remote, step, target, err)
	}
	return nil
}

// exchange sends a request to the URL target and returns the body of the response. If body is not
// nil, it is sent as JSON. step names the operation in errors.
func (c *Client) exchange(ctx context.Context, step, method, target string, body any) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	request, err := newRequest(ctx, method, target, body)
	if err != nil {
		return nil, failure.Wrap(failure.Invalid, step, target, err)
	}
	peer := request.URL.Host
	response, err := c.http.Do(request)
	if err != nil {
		return nil, failure.Wrap(failureTypeOf(err), step, peer, err)
	}
	data, err := readBody(response)
	if err != nil {
		return nil, failure.Wrap(failure.Unavailable, step, peer, err)
	}
	switch code := response.StatusCode; code {
	case http.StatusOK:
		return data, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, failure.New(failure.Refused, step, peer, "status %d: %.200s", code, data)
	default:
		return nil, failure.New(failure.Remote, step, peer, "status %d: %.200s", code, data)
	}
}

// newRequest returns a request that is never sent twice. If body is not nil, it is sent as JSON.
func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, target, http.NoBody)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	// Prevents the HTTP client from resending a request that may have been received.
	request.GetBody = nil
	return request, nil
}

// readBody reads the body of a response, up to maxResponseBytes, and closes it.
func readBody(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	return data, err
}
