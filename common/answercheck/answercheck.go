// Package answercheck rejects HTTP answers that are malformed although net/http accepts them.
package answercheck

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// The statuses that an answer may have (RFC 9110, section 15). net/http accepts any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

// nameSymbols are the characters of a field's name besides letters and digits (RFC 9110, section 5.6.2).
const nameSymbols = "!#$%&'*+-.^_`|~"

// Error is the error of a malformed answer.
type Error struct {
	part  string
	value string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the answer's %s %q is malformed", e.part, e.value)
}

// Is reports whether err says that an answer was malformed.
func Is(err error) bool {
	var malformed *Error
	return errors.As(err, &malformed)
}

// CheckHead returns an Error if the head of an answer is malformed. The answer may be an interim one, but
// not a change of the protocol, since no request asks for one.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return &Error{part: "status", value: r.Status}
	}
	if r.ProtoMajor != 1 {
		return &Error{part: "version", value: r.Proto}
	}
	if r.StatusCode == http.StatusNoContent && hasBody(r) {
		return &Error{part: "framing", value: "a body without content"}
	}
	return checkNames(r.Header)
}

// hasBody reports whether an answer announces a body, also if its status must not have one.
func hasBody(r *http.Response) bool {
	length := r.Header.Get(lengthField)
	return len(r.TransferEncoding) > 0 || length != "" && length != "0"
}

// checkNames returns an Error if a field's name is malformed. net/http keeps names with a blank as they are,
// so that a blank after Content-Length or Transfer-Encoding changes where the body ends.
func checkNames(fields http.Header) error {
	for name := range fields {
		if name == "" || strings.ContainsFunc(name, isNoNameCharacter) {
			return &Error{part: "field name", value: name}
		}
	}
	return nil
}

func isNoNameCharacter(c rune) bool {
	isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
	return !isAlphanumeric && !strings.ContainsRune(nameSymbols, c)
}

// CheckTrailer makes the answer's body end with an Error if the trailer that follows it is malformed.
func CheckTrailer(r *http.Response) {
	isChunked := len(r.TransferEncoding) > 0
	if isChunked && r.Body != http.NoBody {
		r.Body = &trailedBody{ReadCloser: r.Body, response: r}
	}
}

// trailedBody is a body that a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// net/http has read the trailer with the end of the body.
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
