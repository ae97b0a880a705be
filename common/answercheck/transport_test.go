package answercheck

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/rawserver"
)

// receive returns the body of the answer, or the error of the request or of reading its body.
func receive(t *testing.T, answer string) (string, error) {
	t.Helper()
	client := &http.Client{Transport: &Transport{Transport: &http.Transport{}}}
	t.Cleanup(client.CloseIdleConnections)
	response, err := client.Get("http://" + rawserver.Serve(t, answer))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestTransportRejectsMalformedAnswers guards against passing on answers that net/http accepts although they
// are malformed.
func TestTransportRejectsMalformedAnswers(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nno"
	tests := map[string]string{
		"status 000": "HTTP/1.1 000 Odd\r\n" + rest,
		"status 099": "HTTP/1.1 099 Odd\r\n" + rest,
		"status +20": "HTTP/1.1 +20 Odd\r\n" + rest,
		"status 101": "HTTP/1.1 101 Odd\r\n\r\n",
		"status 600": "HTTP/1.1 600 Odd\r\n" + rest,
		"status 999": "HTTP/1.1 999 Odd\r\n" + rest,
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := receive(t, answer)
			assert.Assert(t, Is(err), "%v", err)
		})
	}
}

// TestTransportPassesSoundAnswers: answers of all kinds that workers may send are passed on.
func TestTransportPassesSoundAnswers(t *testing.T) {
	const rest = "Content-Length: 3\r\n\r\nyes"
	tests := map[string]struct{ answer, body string }{
		"a success":                {answer: "HTTP/1.1 200 OK\r\n" + rest, body: "yes"},
		"the lowest final status":  {answer: "HTTP/1.1 200\r\n" + rest, body: "yes"},
		"the highest status":       {answer: "HTTP/1.1 599 Odd\r\n" + rest, body: "yes"},
		"an interim answer before": {answer: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, body: "yes"},
		"no content":               {answer: "HTTP/1.1 204 No Content\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := receive(t, test.answer)
			assert.NilError(t, err)
			assert.Equal(t, body, test.body)
		})
	}
}
