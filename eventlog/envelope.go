// Package eventlog builds state from the streams of the platform's log. It reads a stream record by
// record and applies (folds) each one to the state. Checkpoints of the state replace records that
// the log no longer keeps. The package also appends records, and finds out the outcome of an append
// whose reply was lost.
package eventlog

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzshelf.dev/cluster"
)

// envelopeKind says whether a log record holds data or a checkpoint.
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

// Checkpoint is the state of a fold after all records with offsets below Next.
type Checkpoint struct {
	Next int64 `cbor:"1,keyasint"`
	// Time is the latest log time of these records.
	Time time.Time `cbor:"2,keyasint"`
	// Data is the result of State.Checkpoint.
	Data []byte `cbor:"3,keyasint"`
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

// DecodeCheckpoint decodes a checkpoint that Encode encoded.
func DecodeCheckpoint(data []byte) (Checkpoint, error) {
	var c Checkpoint
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// NewRecord returns a log record with the given id and data. The data must be JSON.
func NewRecord(id string, data json.RawMessage) (cluster.Record, error) {
	return encodeEnvelope(id, envelope{Kind: kindRecord, Data: data})
}

// newCheckpointRecord returns a log record with the given id that holds a checkpoint.
func newCheckpointRecord(id string, c Checkpoint) (cluster.Record, error) {
	return encodeEnvelope(id, envelope{Kind: kindCheckpoint, Checkpoint: c.Encode()})
}

func encodeEnvelope(id string, e envelope) (cluster.Record, error) {
	data, err := json.Marshal(e)
	return cluster.Record{ID: id, Data: data}, err
}
