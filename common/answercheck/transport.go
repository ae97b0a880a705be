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

// NewTransport returns a Transport with the options of base. Connections that are opened by a DialContext which
// is set later are not checked for their framing.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = dialChecked(base.DialContext)
	return &Transport{Transport: base}
}

// NewClient returns a client that sends through a Transport with the options of base. It returns redirections
// instead of following them: they would lead to an answer of another process.
func NewClient(base *http.Transport) *http.Client {
	return &http.Client{Transport: NewTransport(base), CheckRedirect: FollowNone}
}

// FollowNone is an http.Client's CheckRedirect that follows no redirection.
func FollowNone(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// RoundTrip implements http.RoundTripper. The error of a malformed answer wraps an Error, and so does that of
// reading a body which a malformed trailer follows.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: e.begin, Got1xxResponse: e.checkInterim})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := e.check(response); err != nil {
		// The connection is closed regardless of the error.
		_ = response.Body.Close()
		return nil, err
	}
	CheckTrailer(response)
	return response, nil
}

// exchange is a request and its answer.
type exchange struct {
	// conn is the connection, or nil if its framing is not checked.
	conn *conn
	// interimAnswers counts the interim answers.
	interimAnswers int
}

// begin is called with the connection over which the request is about to be sent.
func (e *exchange) begin(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		e.conn = c
		c.beginAnswer()
	}
}

// checkInterim checks an interim answer, which net/http otherwise skips. With this hook, net/http limits the
// bytes of each of them, but not their number.
func (e *exchange) checkInterim(status int, fields textproto.MIMEHeader) error {
	if e.interimAnswers++; e.interimAnswers > maxInterimAnswers {
		return &Error{part: "number of interim answers", value: strconv.Itoa(e.interimAnswers)}
	}
	return CheckHead(&http.Response{StatusCode: status, ProtoMajor: 1, Header: http.Header(fields)})
}

// check checks the final answer.
func (e *exchange) check(response *http.Response) error {
	if err := CheckHead(response); err != nil {
		return err
	}
	if e.conn == nil {
		return nil
	}
	return e.conn.framingErr()
}
