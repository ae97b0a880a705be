package operatorcmd

import (
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/rawserver"
)

// TestMalformedAnswerIsNoSuccess guards against taking the status 000 for a daemon's success.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	c := newClient([]string{rawserver.Serve(t, "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n[]")})
	var reply []string
	err := c.get("/api/objects", &reply)
	assert.Assert(t, answercheck.Is(err), "%v", err)
}
