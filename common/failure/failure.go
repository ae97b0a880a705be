// Package failure builds errors that carry the step and the peer at which they
// arose, so that a log line or an answer names the place without a stack trace.
package failure

import (
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

// At wraps cause as an error of type t that arose in step while dealing with
// peer. It returns nil when cause is nil.
func At(t *errorx.Type, step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	return t.WrapWithNoMessage(cause).WithProperty(propertyStep, step).WithProperty(propertyPeer, peer)
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
	if value, ok := errorx.ExtractProperty(err, key); ok {
		if s, ok := value.(string); ok {
			return s
		}
	}
	return ""
}
