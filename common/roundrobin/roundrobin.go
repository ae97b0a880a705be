// Package roundrobin selects a limited number of items per call, in round-robin order.
package roundrobin

import "slices"

// Select returns up to limit items. If there are more, it sorts items by compare and begins at
// start, or at the next higher item if start isn't one of them. After the last item it continues
// with the first. The result next is the start for the next call.
func Select[T any](items []T, start T, limit int, compare func(a, b T) int) (few []T, next T) {
	if len(items) <= limit {
		return items, start
	}
	slices.SortFunc(items, compare)
	first, _ := slices.BinarySearchFunc(items, start, compare)
	few = make([]T, 0, limit)
	for i := range limit {
		few = append(few, items[(first+i)%len(items)])
	}
	return few, items[(first+limit)%len(items)]
}
