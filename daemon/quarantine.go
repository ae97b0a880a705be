package daemon

import (
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/membership"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/rpc"
)

// quarantineExchange returns the functions with which the membership agent exchanges
// quarantine entries with peers. The entries describe requests that crash workers.
func (d *Daemon) quarantineExchange() membership.Quarantine {
	return membership.Quarantine{
		Report: func() []*rpc.QuarantineEntry {
			now := time.Now()
			table := d.gateway.Guard().Table()
			table.Sweep(now)
			return toMessages(table.Report(now, true))
		},
		Merge: func(peer string, all []*rpc.QuarantineEntry) {
			// Merge reports whether entries should be passed on. The result is not needed here,
			// because this daemon's later reports contain such entries.
			_ = d.gateway.Guard().Merge(fromMessages(all), time.Now(), peer)
		},
	}
}

// toMessages converts entries to messages between daemons.
func toMessages(all []quarantine.Entry) []*rpc.QuarantineEntry {
	messages := make([]*rpc.QuarantineEntry, 0, len(all))
	for i := range all {
		e := &all[i]
		m := &rpc.QuarantineEntry{
			Fingerprint: e.Fingerprint[:], ClearedMillis: e.Cleared, MarkedMillis: e.Marked, LeftMillis: e.Remaining, Rounds: int32(e.Rounds),
		}
		for _, c := range e.Crashes {
			m.Crashes = append(m.Crashes, &rpc.QuarantineCrash{Worker: c.Worker, SentMillis: c.Sent, EndedMillis: c.Ended})
		}
		messages = append(messages, m)
	}
	return messages
}

// fromMessages converts messages to entries. It skips messages whose fingerprint has the
// wrong length.
func fromMessages(messages []*rpc.QuarantineEntry) []quarantine.Entry {
	all := make([]quarantine.Entry, 0, len(messages))
	for _, m := range messages {
		e := quarantine.Entry{Cleared: m.ClearedMillis, Marked: m.MarkedMillis, Remaining: m.LeftMillis, Rounds: int(m.Rounds)}
		if len(m.Fingerprint) != len(e.Fingerprint) {
			continue
		}
		copy(e.Fingerprint[:], m.Fingerprint)
		for _, c := range m.Crashes {
			e.Crashes = append(e.Crashes, quarantine.CrashReport{Worker: c.Worker, Sent: c.SentMillis, Ended: c.EndedMillis})
		}
		all = append(all, e)
	}
	return all
}

// QuarantineRow describes a quarantined request.
type QuarantineRow struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	// Workers are the workers that crashed while they ran the request, the newest last.
	Workers []string  `json:"workers"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	// Rounds is how many times the request has been quarantined.
	Rounds int `json:"rounds"`
}

// listQuarantined answers with the requests that are quarantined now.
func (o *operatorServer) listQuarantined(c *fiber.Ctx) error {
	rows := []QuarantineRow{}
	for _, m := range o.daemon.gateway.Guard().Table().Marks(time.Now()) {
		row := QuarantineRow{Fingerprint: m.Fingerprint, Since: m.MarkedAt, Until: m.Until, Rounds: m.Rounds}
		for _, crash := range m.Crashes {
			row.Workers = append(row.Workers, crash.Worker)
		}
		rows = append(rows, row)
	}
	return c.JSON(rows)
}

// liftQuarantine lifts the quarantine of a request. The next exchanges report the lifting to the
// other daemons.
func (o *operatorServer) liftQuarantine(c *fiber.Ctx) error {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(c.Params("fingerprint"))); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	if !o.daemon.gateway.Guard().Lift(f, "operator") {
		return fiber.NewError(http.StatusNotFound, "no request with the fingerprint "+f.String()+" is quarantined here")
	}
	return c.JSON(QuarantineRow{Fingerprint: f})
}
