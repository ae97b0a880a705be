// Package failure builds errors that carry the failed step and the peer or object involved.
// Log lines and answers can then show where an error arose without a stack trace.
package failure

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("quartzshelf")

	// Remote is the type of errors that another process caused or reported.
	Remote = namespace.NewType("remote")
	// Invalid is the type of errors for invalid input.
	Invalid = namespace.NewType("invalid")
	// Refused is the type of errors for an action that is known not to have taken effect.
	Refused = namespace.NewType("refused", errorx.Temporary())
	// Limited is the type of Refused errors for an action that would exceed a rate limit.
	Limited = Refused.NewSubtype("limited")
	// Unavailable is the type of errors for a component or service that is unavailable now.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())

	propertyStep = errorx.RegisterPrintableProperty("step")
	propertyPeer = errorx.RegisterPrintableProperty("peer")
)

// located is an error with a type, a step and a peer. Unlike an errorx.Error alone, it lets
// errors.Is and errors.As find its cause.
type located struct {
	typed *errorx.Error
	cause error
}

func (l *located) Error() string { return l.typed.Error() }

// Unwrap returns the typed error before the cause, so that Is finds the outermost type
// first.
func (l *located) Unwrap() []error { return []error{l.typed, l.cause} }

// Wrap wraps cause as an error of type t that arose in step while dealing with
// peer. It returns nil when cause is nil.
func Wrap(t *errorx.Type, step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	wrapped := cause
	if l, ok := cause.(*located); ok {
		// Wrapping an errorx.Error reuses its stack trace, so that no other one is collected.
		wrapped = l.typed
	}
	typed := t.WrapWithNoMessage(wrapped).WithProperty(propertyStep, step).WithProperty(propertyPeer, peer)
	return &located{typed: typed, cause: cause}
}

// Is reports whether the outermost type that err carries is t.
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
