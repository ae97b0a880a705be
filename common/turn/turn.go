// Package turn picks a few of many things in turns, so that all come up again and again.
package turn

import "slices"

// Few returns at most some of all things, beginning with from or the next one in order, and
// with which one the next turn begins. It sorts all.
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
