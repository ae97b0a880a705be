// Package answercheck rejects HTTP answers that are malformed although net/http accepts them.
package answercheck

import (
	"errors"
	"fmt"
	"net/http"
)

// The statuses that an answer may have (RFC 9110, section 15). net/http accepts any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

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
	return nil
}
