package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
)

func nodeChange(name, value string, base int64) Change {
	return Change{Operation: OperationPut, Base: base, Document: Document{
		Kind: KindNode, Name: name, Labels: map[string]string{"rack": value},
	}}
}

func fold(t testing.TB, s *State, offset int64, changes ...Change) Verdict {
	t.Helper()
	data, err := ChangeSet{Changes: changes}.Encode()
	assert.NilError(t, err)
	s.Apply(cluster.Record{Offset: offset, ID: fmt.Sprint("r", offset), Time: time.Unix(offset, 0)}, data)
	history := s.History()
	return history[len(history)-1]
}

func TestVerdicts(t *testing.T) {
	account := func(name string) Change {
		spec, err := json.Marshal(AccountSpec{KeyHashes: []string{HashKey("k")}})
		assert.NilError(t, err)
		return Change{Operation: OperationPut, Document: Document{Kind: KindAccount, Name: name, Spec: spec}}
	}
	remove := nodeChange("n1", "a", 1)
	remove.Operation = OperationDelete
	cases := map[string]struct {
		changes []Change
		want    string
	}{
		"a new object":             {[]Change{nodeChange("n2", "a", 0)}, ""},
		"from the present":         {[]Change{nodeChange("n1", "b", 1)}, ""},
		"from the past":            {[]Change{nodeChange("n1", "b", 0)}, "Node/n1 was changed meanwhile: made against revision 0, now at 1, clashing in labels.rack"},
		"delete":                   {[]Change{remove}, ""},
		"all or nothing":           {[]Change{nodeChange("n2", "a", 0), nodeChange("n1", "b", 7)}, "Node/n1 was changed meanwhile: made against revision 7, now at 1, clashing in labels.rack"},
		"two accounts, one key":    {[]Change{account("a"), account("b")}, "client accounts a and b have a key in common"},
		"nothing":                  {nil, "the change set is empty"},
		"delete of what is absent": {[]Change{{Operation: OperationDelete, Document: Document{Kind: KindNode, Name: "n9"}}}, "Node/n9 does not exist"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			fold(t, s, 0, nodeChange("n1", "a", 0))
			v := fold(t, s, 1, c.changes...)
			assert.Equal(t, v.Problem, c.want)
			assert.Equal(t, v.Accepted, c.want == "")
			wantRevision := int64(1)
			if v.Accepted {
				wantRevision = 2
			}
			assert.Equal(t, s.View().Revision(), wantRevision)
		})
	}
}

// BenchmarkFold measures how long it takes to apply a change of one object among many.
func BenchmarkFold(b *testing.B) {
	for _, objects := range []int{100, 1000, 7000} {
		b.Run(fmt.Sprint(objects, " objects"), func(b *testing.B) {
			s := NewState()
			var changes []Change
			for i := range objects {
				changes = append(changes, nodeChange(fmt.Sprint("n", i), "a", 0))
			}
			fold(b, s, 0, changes...)
			checkpoint, err := s.Checkpoint()
			assert.NilError(b, err)
			revision := int64(1)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				fold(b, s, int64(i+1), nodeChange("n7", fmt.Sprint(i), revision))
				revision = int64(i + 2)
			}
			b.ReportMetric(float64(len(checkpoint)), "checkpoint-bytes")
		})
	}
}
