package answercheck

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/rawserver"
)

// receive returns the body of the answer, or the error of the request or of reading its body.
func receive(t *testing.T, answer string) (string, error) {
	t.Helper()
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
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
	const (
		rest    = "Content-Length: 2\r\n\r\nno"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\n"
	)
	tests := map[string]string{
		"status 000": "HTTP/1.1 000 Odd\r\n" + rest,
		"status 099": "HTTP/1.1 099 Odd\r\n" + rest,
		"status +20": "HTTP/1.1 +20 Odd\r\n" + rest,
		"status 101": "HTTP/1.1 101 Odd\r\n\r\n",
		"status 600": "HTTP/1.1 600 Odd\r\n" + rest,
		"status 999": "HTTP/1.1 999 Odd\r\n" + rest,

		"a blank before the colon of the length": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno",
		"a blank before the colon of the coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"a blank within a name":                  "HTTP/1.1 200 OK\r\nOdd Field: a\r\n" + rest,
		"a blank in a name of an interim answer": interim + "Odd Field: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"a blank in a name of a trailer":         chunked + "Odd Field: a\r\n\r\n",
		"a blank before a colon in a trailer":    chunked + "Odd : a\r\n\r\n",
		"a length and a coding":                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"a coding, then a length":                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"a coding in HTTP/1.0":                   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"an interim answer with a body":          interim + "Content-Length: 44\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"an interim answer with chunks":          interim + "Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"no content with a body":                 "HTTP/1.1 204 No Content\r\n" + rest,
		"no content with chunks":                 "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"another version":                        "HTTP/2.0 200 OK\r\n" + rest,
		"too many interim answers":               strings.Repeat(interim+"\r\n", 6) + "HTTP/1.1 200 OK\r\n" + rest,
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
		"no content, no length":    {answer: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
		"not modified":             {answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
		"an earlier version":       {answer: "HTTP/1.0 200 OK\r\n" + rest, body: "yes"},
		"an unusual reason":        {answer: "HTTP/1.1 200 Transfer-Encoding: chunked\r\n" + rest, body: "yes"},
		"names in any case":        {answer: "HTTP/1.1 200 OK\r\ncONTENT-lENGTH: 3\r\n\r\nyes", body: "yes"},
		"bare line feeds":          {answer: "HTTP/1.1 200 OK\nContent-Length: 3\n\nyes", body: "yes"},
		"the same length twice":    {answer: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + rest, body: "yes"},
		"a coding in a value":      {answer: "HTTP/1.1 200 OK\r\nField: a\r\n Transfer-Encoding: chunked\r\n" + rest, body: "yes"},
		"a field named alike":      {answer: "HTTP/1.1 200 OK\r\nTransfer-Encodings: chunked\r\nX-Transfer-Encoding: chunked\r\n" + rest, body: "yes"},
		"a body that looks so":     {answer: "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\nTransfer-Encoding: chunked\r\n", body: "Transfer-Encoding: chunked\r\n"},
		"blanks around a value":    {answer: "HTTP/1.1 200 OK\r\nField: \t a \t\r\n" + rest, body: "yes"},
		"a folded value":           {answer: "HTTP/1.1 200 OK\r\nField: a\r\n b\r\n" + rest, body: "yes"},
		"an unusual name":          {answer: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~1a: b\r\n" + rest, body: "yes"},
		"a trailer":                {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nField: a\r\n\r\n", body: "yes"},
		"an announced trailer":     {answer: "HTTP/1.1 200 OK\r\nTrailer: Field\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nField: a\r\n\r\n", body: "yes"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := receive(t, test.answer)
			assert.NilError(t, err)
			assert.Equal(t, body, test.body)
		})
	}
}
