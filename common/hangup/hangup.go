// Package hangup keeps SIGHUP from ending a program before the program has asked to be notified of it. It is
// imported for this effect alone. Without cgo it has none.
package hangup
