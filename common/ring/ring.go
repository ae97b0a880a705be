// Package ring provides the bounded queue that joins the goroutines of a
// daemon. A full ring refuses instead of blocking its producer, so that one
// slow duty never stalls another.
package ring

// Ring is a bounded queue of values of one type. It is safe for concurrent use.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds at most capacity values; a capacity below one
// is taken as one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, max(capacity, 1))}
}

// Offer adds v and reports whether there was room for it.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		return false
	}
}

// Values returns the channel from which the consumer takes values.
func (r *Ring[T]) Values() <-chan T {
	return r.slots
}

// Drain takes up to limit values that are ready now, without blocking.
func (r *Ring[T]) Drain(limit int) []T {
	var values []T
	for len(values) < limit {
		select {
		case v := <-r.slots:
			values = append(values, v)
		default:
			return values
		}
	}
	return values
}
