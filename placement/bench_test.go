package placement

import (
	"fmt"
	"testing"
)

// BenchmarkMake measures planning for a domain in which a node has just failed.
func BenchmarkMake(b *testing.B) {
	for _, n := range []int{16, 64, 128} {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			in := Input{Domain: "d", Nodes: idleNodes(n), Wants: []Want{want("chat", n/4-1, 0)}}
			in.Nodes = carryOut(in.Nodes, Make(in), 1)
			in.Nodes[1].Answering, in.Nodes[1].Lost = false, true
			b.ReportAllocs()
			for b.Loop() {
				Make(in)
			}
		})
	}
}
