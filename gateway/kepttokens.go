package gateway

import "quartzshelf.dev/common/bufferlimit"

const (
	// tokenOverheadBytes is the memory that a kept token takes besides its text.
	tokenOverheadBytes = 16
	// unreservedTokenBytes is what the tokens of a stream may take without a reservation. It is more than
	// most streams need.
	unreservedTokenBytes = 64 << 10
)

// keptTokens holds the tokens of a stream, so that another replica can continue it. A stream for whose tokens
// no memory is left goes on, but can't be continued.
type keptTokens struct {
	memory *bufferlimit.Memory
	texts  []string
	// count is the number of tokens received. bytes is what the texts take, reserved what is reserved for them.
	count    int
	bytes    int64
	reserved int64
	// isDropped reports whether the texts were dropped.
	isDropped bool
}

// add adds a token.
func (k *keptTokens) add(text string) {
	k.count++
	if k.isDropped {
		return
	}
	k.bytes += int64(len(text)) + tokenOverheadBytes
	if !k.reserve() {
		k.texts, k.isDropped = nil, true
		k.memory.Release()
		return
	}
	k.texts = append(k.texts, text)
}

// reserve reserves memory for the texts, twice as much each time, and reports whether it was available.
func (k *keptTokens) reserve() bool {
	if k.bytes <= unreservedTokenBytes+k.reserved {
		return true
	}
	step := max(k.bytes-unreservedTokenBytes-k.reserved, k.reserved, unreservedTokenBytes)
	if !k.memory.Grow(step) {
		return false
	}
	k.reserved += step
	return true
}
