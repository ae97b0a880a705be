// Package relay answers callers: it finds the route of a request and the
// replica that shall run it, passes the request on, and relays the answer. It
// repeats only what may be repeated and says of a request that it did not run
// only when that is certain.
package relay

import "quartzshelf.dev/backpressure"

// Names holds the names of the headers spoken with callers and workers.
type Names struct {
	// Attempt carries the identity of a request; an answer repeats it.
	Attempt string
	// Deadline carries how long the sender waits, in milliseconds.
	Deadline string
	// Key carries a tenant's key. It is not passed on.
	Key string
	// Tenant tells the worker whose request it is.
	Tenant string
	// Instance names the worker that alone may run the request.
	Instance string
	// NotRun marks refusals before anything ran.
	NotRun string
	// Signature is a worker's own mark on its answers.
	Signature string
	// Model names the model, Usage gives the tokens of the prompt and the most
	// that may come out, separated by a comma.
	Model string
	Usage string
	// LastEvent names the last event that the caller has.
	LastEvent string
	// Priority carries the rank of a request, 0 being the most urgent.
	Priority string
	// Asks are the headers in which workers say what they ask for.
	Asks backpressure.Names
}
