// Package eventlog folds the streams of the platform's log into state: it follows a stream, bridges
// the log's limited retention with checkpoints, and resolves appends whose replies were lost.
package eventlog

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzshelf.dev/cluster"
)

// envelopeKind is the kind of content in a log record.
type envelopeKind string

const (
	kindRecord     envelopeKind = "record"
	kindCheckpoint envelopeKind = "checkpoint"
)

// envelope is the encoding of every record that this package appends.
type envelope struct {
	Kind envelopeKind    `json:"kind"`
	Data json.RawMessage `json:"data,omitempty"`
	// Checkpoint is set on checkpoint records only.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// Checkpoint is the state of a fold after every record before Next.
type Checkpoint struct {
	Next int64     `cbor:"1,keyasint"`
	Time time.Time `cbor:"2,keyasint"`
	Data []byte    `cbor:"3,keyasint"`
}

// Encode returns the checkpoint as CBOR.
func (c Checkpoint) Encode() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		// Marshal fails only for unsupported types, and Checkpoint has none.
		panic(err)
	}
	return data
}

// DecodeCheckpoint decodes the result of Encode.
func DecodeCheckpoint(data []byte) (Checkpoint, error) {
	var c Checkpoint
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// NewRecord returns a record with the given id and data, which must be JSON.
func NewRecord(id string, data json.RawMessage) (cluster.Record, error) {
	return encodeEnvelope(id, envelope{Kind: kindRecord, Data: data})
}

// newCheckpointRecord returns a record with the given id and checkpoint.
func newCheckpointRecord(id string, c Checkpoint) (cluster.Record, error) {
	return encodeEnvelope(id, envelope{Kind: kindCheckpoint, Checkpoint: c.Encode()})
}

func encodeEnvelope(id string, e envelope) (cluster.Record, error) {
	data, err := json.Marshal(e)
	return cluster.Record{ID: id, Data: data}, err
}
