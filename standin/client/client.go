// Package client is an HTTP client for the platform's log, node list and nodes. Package
// standin/server serves simulations of them.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
)

// Limits of calls.
const (
	// callTimeout bounds a call whose context has no deadline.
	callTimeout = 5 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
)

// Client calls the platform over HTTP. It implements cluster.Log, cluster.NodeList and
// cluster.NodeControl. It never retries a call, so the caller must handle lost responses.
type Client struct {
	logURL   string
	nodesURL string
	http     *fasthttp.Client
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
}

// New returns a client for the addresses in opts. It doesn't connect yet.
func New(opts Options) *Client {
	return &Client{
		logURL:   "http://" + opts.LogAddress,
		nodesURL: "http://" + opts.NodeListAddress,
		http: &fasthttp.Client{
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
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
	err := c.call(ctx, "append to log", fasthttp.MethodPost, target, appendRequest{Records: records}, &reply)
	return reply.First, err
}

// Read implements cluster.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (cluster.Batch, error) {
	var batch cluster.Batch
	target := fmt.Sprintf("%s/log/%s?from=%d&limit=%d&wait_ms=%d",
		c.logURL, url.PathEscape(stream), from, limit, wait.Milliseconds())
	err := c.call(ctx, "read log", fasthttp.MethodGet, target, nil, &batch)
	return batch, err
}

type nodesReply struct {
	Nodes []cluster.ListedNode `json:"nodes"`
}

// Nodes implements cluster.NodeList.
func (c *Client) Nodes(ctx context.Context) ([]cluster.ListedNode, error) {
	var reply nodesReply
	err := c.call(ctx, "read node list", fasthttp.MethodGet, c.nodesURL+"/nodes", nil, &reply)
	return reply.Nodes, err
}

// State implements cluster.NodeControl.
func (c *Client) State(ctx context.Context, address string) (cluster.NodeState, error) {
	var state cluster.NodeState
	err := c.call(ctx, "probe node", fasthttp.MethodGet, "http://"+address+"/control/state", nil, &state)
	return state, err
}

// Order implements cluster.NodeControl.
func (c *Client) Order(ctx context.Context, address string, order cluster.Order) (cluster.OrderReply, error) {
	var reply cluster.OrderReply
	err := c.call(ctx, "order node", fasthttp.MethodPost, "http://"+address+"/control/order", order, &reply)
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
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(target)
	peer := string(request.Host())
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return failure.Wrap(failure.Invalid, step, peer, err)
		}
		request.Header.SetContentType("application/json")
		request.SetBody(encoded)
	}
	if err := ctx.Err(); err != nil {
		return failure.Wrap(failure.Unavailable, step, peer, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return failure.Wrap(failureTypeOf(err), step, peer, err)
	}
	switch code := response.StatusCode(); code {
	case fasthttp.StatusOK:
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return failure.New(failure.Refused, step, peer, "status %d: %.200s", code, response.Body())
	default:
		return failure.New(failure.Remote, step, peer, "status %d: %.200s", code, response.Body())
	}
	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return failure.Wrap(failure.Remote, step, peer, err)
	}
	return nil
}
