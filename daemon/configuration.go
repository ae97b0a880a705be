package daemon

import (
	"quartzshelf.dev/eventlog"
	"quartzshelf.dev/membership"
)

// streamConfiguration is the log stream of the change sets that operators publish.
const streamConfiguration = "configuration"

var _ membership.Configuration = eventlog.Shared{}
