// Package proxy serves callers: it finds the route of a request, chooses a replica, forwards the
// request and relays the answer. It retries only requests that may be repeated, and reports that
// a request did not run only when that is certain.
package proxy

import "quartzshelf.dev/backpressure"

// HeaderNames holds the names of the headers exchanged with callers and workers.
type HeaderNames struct {
	// AttemptID is the header with the request's ID, which answers repeat.
	AttemptID string
	// Deadline is the header with the sender's remaining time, in milliseconds.
	Deadline string
	// Key is the header with a tenant's key. It is not forwarded.
	Key string
	// Tenant is the header with the tenant's name. It is sent to workers only.
	Tenant string
	// Instance is the header with the ID of the only worker that may run the request.
	Instance string
	// NotRun is the header that marks answers to requests that did not run.
	NotRun string
	// Signature is the header with a worker's signature of its answer.
	Signature string
	// Model is the header with the model's name. Usage is the header with the number of prompt
	// tokens and the maximum number of answer tokens, separated by a comma.
	Model string
	Usage string
	// Prefix is the header with the parts of the prompt, as comma-separated pairs of an ID and a
	// number of tokens. The last part belongs to the request alone.
	Prefix string
	// LastEventID is the header with the ID of the last event that the caller has received.
	LastEventID string
	// Priority is the header with the request's priority; 0 is the most urgent.
	Priority string
	// Signals holds the names of the headers with which workers limit or pause requests.
	Signals backpressure.HeaderNames
}
