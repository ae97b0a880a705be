// Package ring provides a bounded queue between goroutines. A full queue rejects values
// instead of blocking the producer.
package ring

// Ring is a bounded queue of values of one type. It is safe for concurrent use.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring with room for capacity values. A capacity below one counts as one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, max(capacity, 1))}
}

// Offer adds v if there is room, and reports whether it did. It doesn't block.
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

// Drain removes and returns up to limit queued values. It doesn't block.
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
