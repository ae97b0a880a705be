package daemon

import (
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"

	"quartzshelf.dev/membership"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/rpc"
)

// quarantineExchange returns how what is known of requests that end workers spreads.
func (d *Daemon) quarantineExchange() membership.Quarantine {
	return membership.Quarantine{
		Report: func() []*rpc.QuarantineEntry {
			now := time.Now()
			table := d.gateway.Guard().Table()
			table.Sweep(now)
			return toMessages(table.Report(now, true))
		},
		Merge: func(peer string, all []*rpc.QuarantineEntry) {
			// Exchanges go to one peer after the other, each of which passes on by itself.
			_ = d.gateway.Guard().Merge(fromMessages(all), time.Now(), peer)
		},
	}
}

func toMessages(all []quarantine.Entry) []*rpc.QuarantineEntry {
	messages := make([]*rpc.QuarantineEntry, 0, len(all))
	for i := range all {
		e := &all[i]
		m := &rpc.QuarantineEntry{
			Fingerprint: e.Fingerprint[:], ClearedMillis: e.Cleared, MarkedMillis: e.Marked, LeftMillis: e.Left, Rounds: int32(e.Rounds),
		}
		for _, c := range e.Crashes {
			m.Crashes = append(m.Crashes, &rpc.QuarantineCrash{Worker: c.Worker, SentMillis: c.Sent, EndedMillis: c.Ended})
		}
		messages = append(messages, m)
	}
	return messages
}

// fromMessages returns the entries of messages; those without a whole fingerprint are left out.
func fromMessages(messages []*rpc.QuarantineEntry) []quarantine.Entry {
	all := make([]quarantine.Entry, 0, len(messages))
	for _, m := range messages {
		e := quarantine.Entry{Cleared: m.ClearedMillis, Marked: m.MarkedMillis, Left: m.LeftMillis, Rounds: int(m.Rounds)}
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

// QuarantineRow is a request that is quarantined.
type QuarantineRow struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	// Workers are those that ended, the newest last.
	Workers []string  `json:"workers"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	// Rounds is how often it was quarantined.
	Rounds int `json:"rounds"`
}

// listQuarantined lists the requests that are quarantined.
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

// liftQuarantine ends a quarantine; the other daemons hear of it.
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
