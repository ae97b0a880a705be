// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx is done if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
