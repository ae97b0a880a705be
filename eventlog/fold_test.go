package eventlog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/cluster"
)

// listState collects the data of the records applied.
type listState struct {
	Seen []string `json:"seen"`
}

func (l *listState) Apply(_ cluster.Record, data json.RawMessage) {
	l.Seen = append(l.Seen, string(data))
}

func (l *listState) Checkpoint() ([]byte, error) { return json.Marshal(l) }

func (l *listState) Restore(data []byte) error {
	l.Seen = nil
	return json.Unmarshal(data, l)
}

func record(t rapid.TB, offset int64) cluster.Record {
	r, err := NewRecord(fmt.Sprint("r", offset), json.RawMessage(fmt.Sprint(offset)))
	assert.NilError(t, err)
	r.Offset, r.Time = offset, time.Unix(offset, 0)
	return r
}

// TestTwoWatchersOfOneRecord checks that two watchers of a record are notified. The second one must
// not replace the first, which would then wait until its timeout.
func TestTwoWatchersOfOneRecord(t *testing.T) {
	f := NewFold(&listState{})
	first, second := f.Watch("r0"), f.Watch("r0")
	f.Unwatch("r0")
	f.Add(record(t, 0))
	for name, folded := range map[string]<-chan struct{}{"first": first, "second": second} {
		select {
		case <-folded:
		default:
			t.Errorf("the %s watcher was not notified", name)
		}
	}
}

// TestFoldIsIndependentOfReads checks that a fold that started after the log dropped its first
// records reaches the same state as one that read all. The log, its checkpoints and the reads,
// which overlap, are random.
func TestFoldIsIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		completeFold := NewFold(&listState{})
		var log []cluster.Record
		lastCheckpoint := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			next := int64(len(log))
			r := record(t, next)
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				c, err := completeFold.Checkpoint()
				assert.NilError(t, err)
				r, err = newCheckpointRecord(fmt.Sprint("c", next), c)
				assert.NilError(t, err)
				r.Offset = next
				lastCheckpoint = c.Next
			}
			log = append(log, r)
			completeFold.Add(r)
		}
		lateFold := NewFold(&listState{})
		from := rapid.Int64Range(0, lastCheckpoint).Draw(t, "earliest")
		for lateFold.Next() < int64(len(log)) {
			end := rapid.Int64Range(from, int64(len(log))).Draw(t, "end")
			for _, r := range log[from:end] {
				lateFold.Add(r)
			}
			if end == int64(len(log)) {
				break
			}
		}
		assert.DeepEqual(t, lateFold.state.(*listState).Seen, completeFold.state.(*listState).Seen)
		assert.Equal(t, lateFold.Next(), completeFold.Next())
	})
}

// TestInstallNeverGoesBack checks that an outdated checkpoint from a peer does not replace the
// newer state.
func TestInstallNeverGoesBack(t *testing.T) {
	f := NewFold(&listState{})
	f.Add(record(t, 0))
	stale, err := f.Checkpoint()
	assert.NilError(t, err)
	f.Add(record(t, 1))
	assert.Assert(t, !f.Install(stale))
	assert.Equal(t, f.Next(), int64(2))
}
