package fleet

// A position tells how far something published is known: the offset in its log, and the era of
// the store that gave the offset. A store that comes back from a copy begins a new era, in
// which offsets of the one before are given out again. Positions are compared as a pair, the
// era first, so both are one whole number: offsets take the lower bits. A source without eras
// has the era 0, and its positions are its offsets.
const (
	// offsetBits leaves room for 10^12 records: at 10,000 a second three years.
	offsetBits = 40
	offsetMask = 1<<offsetBits - 1
	// MaxEra is the highest era that a position can hold.
	MaxEra = 1<<(62-offsetBits) - 1
)

// PositionOf returns the position of an offset in an era.
func PositionOf(era, offset int64) int64 { return era<<offsetBits | offset&offsetMask }

// EraOf returns the era of a position; 0 for a negative one, which stands for none.
func EraOf(position int64) int64 { return max(position, 0) >> offsetBits }

// OffsetOf returns the offset of a position.
func OffsetOf(position int64) int64 { return position & offsetMask }
