package operatorcmd

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"quartzshelf.dev/daemon"
)

// quarantineCommand shows and lifts quarantines.
type quarantineCommand struct {
	List quarantineListCommand `cmd:"" help:"Show the requests that are refused since they ended workers."`
	Lift quarantineLiftCommand `cmd:"" help:"Let such a request through again, at all daemons."`
}

// quarantineListCommand shows the quarantined requests.
type quarantineListCommand struct{}

// Run prints the quarantined requests.
func (l *quarantineListCommand) Run(env *environment) error {
	var rows []daemon.QuarantineRow
	if err := env.client.get("/api/quarantine", &rows); err != nil {
		return err
	}
	t := table{head: []string{"FINGERPRINT", "SINCE", "UNTIL", "TIMES", "WORKERS"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{
			r.Fingerprint.String(), r.Since.Format(time.RFC3339), r.Until.Format(time.RFC3339), strconv.Itoa(r.Rounds), strings.Join(r.Workers, " "),
		})
	}
	return show(env.stdout, env.format, rows, t)
}

// quarantineLiftCommand lifts the quarantine of a request.
type quarantineLiftCommand struct {
	Fingerprint string `arg:"" help:"Fingerprint of the request, as list and the logs show it."`
}

// Run lifts the quarantine and prints the fingerprint of the request.
func (l *quarantineLiftCommand) Run(env *environment) error {
	var lifted daemon.QuarantineRow
	if err := env.client.callFirst(http.MethodDelete, "/api/quarantine/"+url.PathEscape(l.Fingerprint), &lifted); err != nil {
		return err
	}
	_, err := fmt.Fprintln(env.stdout, "lifted", lifted.Fingerprint)
	return err
}
