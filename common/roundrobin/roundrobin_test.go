package roundrobin

import (
	"cmp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// TestSelectReturnsAll checks that repeated calls return every item of a list that doesn't
// change, in the smallest possible number of calls.
func TestSelectReturnsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.IntRange(0, 1000), 1, 40, rapid.ID[int]).Draw(t, "all")
		most := rapid.IntRange(1, 8).Draw(t, "most")
		from := rapid.IntRange(-1, 1001).Draw(t, "from")
		var seen []int
		for range (len(all) + most - 1) / most {
			var few []int
			few, from = Select(slices.Clone(all), from, most, cmp.Compare)
			assert.Assert(t, len(few) <= most)
			seen = append(seen, few...)
		}
		slices.Sort(seen)
		slices.Sort(all)
		assert.DeepEqual(t, slices.Compact(seen), all)
	})
}
