package proxy

import (
	"strings"

	"quartzshelf.dev/quarantine"
)

const (
	// maxPromptParts is the number of a prompt's parts that are used, and maxPartIDBytes the length of
	// the longest ID that is. Callers choose both.
	maxPromptParts = 32
	maxPartIDBytes = 64
)

// promptParts returns the parts of the prompt that other requests may share, computed on first use.
func (c *request) promptParts() []quarantine.Part {
	c.partsOnce.Do(func() {
		for _, id := range sharedPartIDs(c.prefix) {
			c.cachedParts = append(c.cachedParts, quarantine.PartOf(c.account(), id))
		}
	})
	return c.cachedParts
}

// sharedPartIDs returns the IDs of a prompt's parts, except for the last one, which belongs to the
// request alone. Parts without a valid ID are left out.
func sharedPartIDs(prefix string) []string {
	var ids []string
	for range maxPromptParts {
		part, rest, hasNext := strings.Cut(prefix, ",")
		if !hasNext {
			break
		}
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		if id != "" && len(id) <= maxPartIDBytes {
			ids = append(ids, id)
		}
		prefix = rest
	}
	return ids
}
