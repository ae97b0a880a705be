package answercheck

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
)

// maxInterimAnswers limits the interim (1xx) answers before another one.
const maxInterimAnswers = 5

// Transport is an http.Transport that fails requests whose answers are malformed.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. The error of a malformed answer wraps an Error, and so does that of
// reading a body which a malformed trailer follows.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), newInterimTrace())
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		// The connection is closed regardless of the error.
		_ = response.Body.Close()
		return nil, err
	}
	CheckTrailer(response)
	return response, nil
}

// newInterimTrace returns a trace that checks interim answers, which net/http otherwise skips. With a trace,
// it limits the bytes of each of them, but not their number.
func newInterimTrace() *httptrace.ClientTrace {
	count := 0
	return &httptrace.ClientTrace{Got1xxResponse: func(status int, fields textproto.MIMEHeader) error {
		if count++; count > maxInterimAnswers {
			return &Error{part: "number of interim answers", value: strconv.Itoa(count)}
		}
		return CheckHead(&http.Response{StatusCode: status, Header: http.Header(fields)})
	}}
}
