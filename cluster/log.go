// Package cluster holds the messages between daemons and what surrounds them (log
// service, node list, nodes) and the interfaces by which these are reached. Its
// types are messages and so have exported fields.
package cluster

import (
	"context"
	"time"
)

// Record is one entry of a log stream.
type Record struct {
	// Offset is the position in the stream, counted from zero.
	Offset int64 `json:"offset"`
	// ID is the writer's unique name for the record; by it a writer finds its
	// record when the answer to an append was lost.
	ID string `json:"id"`
	// Time is when the log service appended the record, by its clock.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record `json:"records"`
	// Earliest is the lowest offset that the log still keeps.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next int64 `json:"next"`
}

// Log is the append-only service of the platform.
type Log interface {
	// Append adds records to the stream as one unit and returns the offset of
	// the first. An error does not mean that nothing was appended.
	Append(ctx context.Context, stream string, records []Record) (int64, error)
	// Read returns up to limit records at or after from. With none there it
	// waits up to wait for one to come.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
