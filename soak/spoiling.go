package soak

import (
	"maps"
	"math/rand/v2"
	"slices"

	"quartzshelf.dev/platform/standin"
)

// spoiledShare is the share of responses that are spoiled.
const spoiledShare = 0.1

// spoilFaults maps names to faults in which workers send bytes that are no response, or in which another writer
// leaves odd entries among those of the workers.
var spoilFaults = map[string]fault{
	"spoiled-responses": {inject: (*run).spoilResponses},
	"odd-entries":       {inject: (*run).leaveOddEntries},
}

func spoilFaultNames() []string { return slices.Sorted(maps.Keys(spoilFaults)) }

func (r *run) spoilResponses(*rand.Rand) func() {
	r.fabric.SetSpoiling(spoiledShare)
	return func() { r.fabric.SetSpoiling(0) }
}

func (r *run) leaveOddEntries(random *rand.Rand) func() {
	services := []string{standin.PlainService, standin.ModelService}
	return r.fabric.PutOddEntries(services[random.IntN(len(services))])
}
