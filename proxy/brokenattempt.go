package proxy

import (
	"strings"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
)

// fingerprint returns the request's fingerprint, computed on first use.
func (c *request) fingerprint() quarantine.Fingerprint {
	c.fingerprintOnce.Do(func() {
		c.hasFingerprint.Store(true)
		c.cachedFingerprint = quarantine.FingerprintOf(c.account(), c.method, c.host, c.target, c.body)
	})
	return c.cachedFingerprint
}

// fingerprintIfKnown returns the fingerprint in its log format, or "" if it was never computed.
func (c *request) fingerprintIfKnown() string {
	if !c.hasFingerprint.Load() {
		return ""
	}
	return c.fingerprint().String()
}

// account returns the name of the client account; empty for a route that needs no key.
func (c *request) account() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// logBroken counts and logs an attempt that broke off. The logged fingerprint is the same for all
// copies of a request, even if their IDs differ.
func (p *Proxy) logBroken(c *request, replica *fleet.Replica, err error) {
	p.opts.Meter.CountBrokenAttempt(c.service)
	p.opts.Logger.Info("attempt broke off", "request", c.id, "fingerprint", c.fingerprint().String(),
		"account", c.account(), "host", c.host, "target", c.target, "bytes", len(c.body), "prompt_parts", strings.Join(sharedPartIDs(c.prefix), ","),
		"worker", replica.Head.ID, "replica", replica.ID, "busy", c.chosenInFlight, "sends", c.sends,
		"sent_ms", time.Since(c.chosenAt).Milliseconds(), "error", err)
}
