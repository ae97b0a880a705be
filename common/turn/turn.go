// Package turn selects a limited number of items per call, in round-robin order.
package turn

import "slices"

// Few returns at most the given number of items, in the order of compare and wrapping around
// at the end. The first is from, or the next higher item if there is no such item. The
// second result is the value of from for the next call. Few sorts all if it holds more
// items than it returns.
func Few[T any](all []T, from T, most int, compare func(a, b T) int) (few []T, next T) {
	if len(all) <= most {
		return all, from
	}
	slices.SortFunc(all, compare)
	first, _ := slices.BinarySearchFunc(all, from, compare)
	few = make([]T, 0, most)
	for i := range most {
		few = append(few, all[(first+i)%len(all)])
	}
	return few, all[(first+most)%len(all)]
}
