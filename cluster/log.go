// Package cluster defines the messages exchanged with the platform's log service, its node list and
// the nodes, and the interfaces to access them.
package cluster

import (
	"context"
	"time"
)

// Record is one entry of a log stream.
type Record struct {
	// Offset is the position in the stream, starting at zero.
	Offset int64 `json:"offset"`
	// ID is a unique name chosen by the writer. If the reply to an append is lost, the writer can find
	// out by the name whether the record was appended.
	ID string `json:"id"`
	// Time is when the log service appended the record, by its own clock.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	Records []Record `json:"records"`
	// Earliest is the lowest offset that the log still holds.
	Earliest int64 `json:"earliest"`
	// Next is the offset of the next record to be appended.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends records to the stream atomically and returns the offset of the first. After an
	// error the records may have been appended nevertheless.
	Append(ctx context.Context, stream string, records []Record) (int64, error)
	// Read returns up to limit records starting at from. If there are none, it waits up to wait for
	// the first one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
