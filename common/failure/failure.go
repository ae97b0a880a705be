// Package failure builds errors that carry the step and the peer at which they
// arose, so that a log line or an answer names the place without a stack trace.
package failure

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("quartzshelf")

	// Remote marks an error that another process caused or reported.
	Remote = namespace.NewType("remote")
	// Invalid marks an input that was refused.
	Invalid = namespace.NewType("invalid")
	// Refused marks an action that is known not to have taken effect.
	Refused = namespace.NewType("refused", errorx.Temporary())
	// Unavailable marks a part that cannot do its work at present.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())

	propertyStep = errorx.RegisterPrintableProperty("step")
	propertyPeer = errorx.RegisterPrintableProperty("peer")
)

// located is an error of a type, with its step and peer, that lets errors.Is and
// errors.As see its cause, which an errorx.Error hides.
type located struct {
	typed *errorx.Error
	cause error
}

func (l *located) Error() string { return l.typed.Error() }

// Unwrap returns the error's own type first, since that decides what it is.
func (l *located) Unwrap() []error { return []error{l.typed, l.cause} }

// At wraps cause as an error of type t that arose in step while dealing with
// peer. It returns nil when cause is nil.
func At(t *errorx.Type, step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	wrapped := cause
	if l, ok := cause.(*located); ok {
		// The stack trace of an errorx.Error is taken over; another one costs its taking.
		wrapped = l.typed
	}
	typed := t.WrapWithNoMessage(wrapped).WithProperty(propertyStep, step).WithProperty(propertyPeer, peer)
	return &located{typed: typed, cause: cause}
}

// Is reports whether err is of type t: the outermost type that it carries counts.
func Is(err error, t *errorx.Type) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(t)
}

// New returns an error of type t that arose in step while dealing with peer.
func New(t *errorx.Type, step, peer, format string, args ...any) error {
	return t.New(format, args...).WithProperty(propertyStep, step).WithProperty(propertyPeer, peer)
}

// Step returns the innermost step that err carries, or an empty string.
func Step(err error) string {
	return property(err, propertyStep)
}

// Peer returns the innermost peer that err carries, or an empty string.
func Peer(err error) string {
	return property(err, propertyPeer)
}

func property(err error, key errorx.Property) string {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return ""
	}
	if value, ok := typed.Property(key); ok {
		if s, ok := value.(string); ok {
			return s
		}
	}
	return ""
}
