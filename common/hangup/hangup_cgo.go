//go:build cgo

package hangup

/*
#include <signal.h>

// Runs before the Go runtime starts, which leaves an ignored SIGHUP ignored until the program asks for it.
__attribute__((constructor)) static void ignoreHangups(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
