package formation

import (
	"testing"

	"quartzshelf.dev/common/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
