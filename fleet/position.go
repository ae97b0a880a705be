package fleet

// A position is an integer that combines an offset in a published log with the era of the store
// that assigned the offset. A store that is restored from a copy begins a new era, in which it may
// assign the same offsets again. The offset is in the lower bits, so positions of a later era are
// higher. A source without eras has era 0, and its positions equal its offsets.
const (
	// offsetBits is the number of bits for the offset, enough for 10^12 records.
	offsetBits = 40
	offsetMask = 1<<offsetBits - 1
	// MaxEra is the highest era that a position can hold.
	MaxEra = 1<<(62-offsetBits) - 1
)

// PositionOf returns the position of an offset in an era.
func PositionOf(era, offset int64) int64 { return era<<offsetBits | offset&offsetMask }

// EraOf returns the era of a position, or 0 for a negative one, which means no position.
func EraOf(position int64) int64 { return max(position, 0) >> offsetBits }

// OffsetOf returns the offset of a position.
func OffsetOf(position int64) int64 { return position & offsetMask }
