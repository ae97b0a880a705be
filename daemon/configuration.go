package daemon

import (
	"quartzshelf.dev/eventlog"
	"quartzshelf.dev/membership"
)

// streamConfiguration is the log stream that operators publish on.
const streamConfiguration = "configuration"

var _ membership.Configuration = eventlog.Shared{}
