package fleet

import "slices"

// Regions is a set of regions in which requests may run. An empty set allows all.
type Regions []string

// Allows reports whether requests may run in a region.
func (r Regions) Allows(region string) bool {
	return len(r) == 0 || slices.Contains(r, region)
}
