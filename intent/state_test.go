package intent

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
)

// apply applies records to s from the given offset. The time of a record is its offset in seconds.
func apply(t *testing.T, s *State, from int64, records ...Record) {
	t.Helper()
	for i, r := range records {
		data, err := json.Marshal(r)
		assert.NilError(t, err)
		offset := from + int64(i)
		s.Apply(cluster.Record{Offset: offset, Time: time.Unix(offset, 0)}, data)
	}
}

func claim(attempt string) Record {
	return Record{Operation: OperationClaim, Key: "k", Attempt: attempt, Holder: "h-" + attempt, Body: "body"}
}

func release(attempt string) Record {
	return Record{Operation: OperationRelease, Key: "k", Attempt: attempt}
}

func TestHolderOfKey(t *testing.T) {
	done := Record{Operation: OperationDone, Key: "k", Attempt: "a", Status: 200}
	otherBody := claim("b")
	otherBody.Body = "other"
	cases := map[string]struct {
		records []Record
		want    string
	}{
		"the first claim wins":                   {[]Record{claim("a"), claim("b")}, "a"},
		"a released key goes to the next":        {[]Record{claim("a"), release("a"), claim("b")}, "b"},
		"a repeated claim stays released":        {[]Record{claim("a"), release("a"), claim("a")}, ""},
		"a claim after its release is barred":    {[]Record{release("a"), claim("a")}, ""},
		"a release of a loser changes nothing":   {[]Record{claim("a"), release("b")}, "a"},
		"a key that is done is not released":     {[]Record{claim("a"), done, release("a"), claim("b")}, "a"},
		"another body does not get a free key":   {[]Record{claim("a"), release("a"), otherBody}, ""},
		"a record without an attempt is ignored": {[]Record{{Operation: OperationClaim, Key: "k"}}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewState(time.Hour)
			apply(t, s, 0, c.records...)
			e, _ := s.Entry("k")
			assert.Equal(t, e.Attempt(), c.want)
		})
	}
}

// TestKeysExpireByLogTime applies the same records to two states, one of which is restored from a
// checkpoint in between. It checks that both remove the key at the same record.
func TestKeysExpireByLogTime(t *testing.T) {
	original, restored := NewState(10*time.Second), NewState(10*time.Second)
	apply(t, original, 0, claim("a"))
	checkpoint, err := original.Checkpoint()
	assert.NilError(t, err)
	assert.NilError(t, restored.Restore(checkpoint))
	for name, s := range map[string]*State{"original": original, "restored": restored} {
		apply(t, s, 10, claim("b"))
		e, _ := s.Entry("k")
		assert.Equal(t, e.Attempt(), "a", name)
		apply(t, s, 11, claim("c"))
		e, _ = s.Entry("k")
		assert.Equal(t, e.Attempt(), "c", name)
	}
}
