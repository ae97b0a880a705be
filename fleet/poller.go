package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"quartzshelf.dev/common/pause"
)

// poller reads one kind of data from the source again and again.
type poller struct {
	*Follower
	// dataName names the data in logs.
	dataName string
	// isProbe is set if other pollers wait for this one during an outage of the source.
	isProbe    bool
	shouldRead func() bool
	read       func(ctx context.Context) error
	backoff    retryBackoff
	// isUnreachable is set if the last read failed.
	isUnreachable bool
}

// run reads until ctx ends, except while shouldRead reports false. It logs when the source becomes
// unreachable and when it is reachable again.
func (p *poller) run(ctx context.Context) {
	p.backoff.settleTime = p.opts.SettleTime
	for ctx.Err() == nil {
		if !p.shouldRead() {
			p.endProbe()
			pause.Sleep(ctx, idlePollInterval)
			continue
		}
		err := p.read(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			p.recordFailure(err)
			p.waitToRetry(ctx)
		default:
			p.recordSuccess()
		}
	}
}

func (p *poller) recordFailure(err error) {
	if !p.isUnreachable {
		p.opts.Logger.Warn("source unreachable", "of", p.dataName, "error", err)
	}
	p.isUnreachable = true
	if p.isProbe {
		p.probe.begin()
	}
}

func (p *poller) recordSuccess() {
	if p.isUnreachable {
		p.opts.Logger.Info("source reachable again", "of", p.dataName)
	}
	p.isUnreachable = false
	p.backoff.reset()
	p.endProbe()
}

func (p *poller) endProbe() {
	if p.isProbe {
		p.probe.end()
	}
}

// waitToRetry waits before the next read after one that failed. While another poller probes the source,
// it waits for that one to succeed, but not for longer than its own delay.
func (p *poller) waitToRetry(ctx context.Context) {
	var probed <-chan struct{}
	if !p.isProbe {
		probed = p.probe.underWay()
	}
	least := p.backoff.delay(p.spreadDelay(), probed != nil)
	timer := time.NewTimer(least + rand.N(least))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-probed:
	case <-ctx.Done():
	}
}

// spreadDelay returns the delay that keeps a large fleet from calling a recovering source all at once.
func (p *poller) spreadDelay() time.Duration {
	if p.opts.MinRetryDelay == nil {
		return 0
	}
	return p.opts.MinRetryDelay()
}
