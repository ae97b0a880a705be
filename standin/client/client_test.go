package client

import (
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/rawserver"
)

// TestMalformedAnswerIsNoSuccess guards against taking the status 000 of the log or a node for a success.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			address := rawserver.Serve(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 17\r\n\r\n{\"accepted\":true}")
			c := New(Options{LogAddress: address, NodeListAddress: address})
			_, err := c.Append(t.Context(), "s", []cluster.Record{{ID: "r"}})
			assert.Assert(t, failure.Is(err, failure.Unavailable), "%v", err)
			reply, err := c.Order(t.Context(), address, cluster.Order{})
			assert.Assert(t, failure.Is(err, failure.Unavailable), "%v", err)
			assert.Assert(t, !reply.Accepted)
		})
	}
}
