// Package eventlog keeps folds of the platform's log streams: it follows a
// stream, survives its limited retention by checkpoints, and settles appends
// whose answers were lost.
package eventlog

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzshelf.dev/cluster"
)

// envelopeKind tells what a log record of ours carries.
type envelopeKind string

const (
	kindRecord     envelopeKind = "record"
	kindCheckpoint envelopeKind = "checkpoint"
)

// envelope is the outer form of every record that we append.
type envelope struct {
	Kind envelopeKind    `json:"kind"`
	Data json.RawMessage `json:"data,omitempty"`
	// Checkpoint is set on a checkpoint record only.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// Checkpoint is the state of a fold after every record below Next.
type Checkpoint struct {
	Next int64     `cbor:"1,keyasint"`
	Time time.Time `cbor:"2,keyasint"`
	Data []byte    `cbor:"3,keyasint"`
}

// Encode returns the checkpoint as CBOR.
func (c Checkpoint) Encode() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		// Only unsupported types make Marshal fail, and Checkpoint has none.
		panic(err)
	}
	return data
}

// DecodeCheckpoint decodes what Encode returned.
func DecodeCheckpoint(data []byte) (Checkpoint, error) {
	var c Checkpoint
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// NewRecord wraps data, which must be JSON, as a record with the given id.
func NewRecord(id string, data json.RawMessage) (cluster.Record, error) {
	return seal(id, envelope{Kind: kindRecord, Data: data})
}

// newCheckpointRecord wraps a checkpoint as a record with the given id.
func newCheckpointRecord(id string, c Checkpoint) (cluster.Record, error) {
	return seal(id, envelope{Kind: kindCheckpoint, Checkpoint: c.Encode()})
}

func seal(id string, e envelope) (cluster.Record, error) {
	data, err := json.Marshal(e)
	return cluster.Record{ID: id, Data: data}, err
}
