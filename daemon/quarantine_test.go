package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/gateway"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/telemetry"
)

// TestQuarantineMessages checks that entries survive the conversion to messages and back,
// and that messages with a fingerprint of the wrong length are skipped.
func TestQuarantineMessages(t *testing.T) {
	entry := quarantine.Entry{
		Fingerprint: quarantine.FingerprintOf("a", "POST", "", "/", nil), Cleared: 1, Marked: 2, Remaining: 3, Rounds: 4,
		Crashes: []quarantine.CrashReport{{Worker: "w", Sent: 20, Ended: 10}},
	}
	messages := toMessages([]quarantine.Entry{entry})
	assert.DeepEqual(t, fromMessages(messages), []quarantine.Entry{entry})
	short := &rpc.QuarantineEntry{Fingerprint: entry.Fingerprint[1:]}
	assert.DeepEqual(t, fromMessages(append(messages, short, &rpc.QuarantineEntry{})), []quarantine.Entry{entry})
}

// TestOperatorLiftsQuarantine checks that operators can list and lift quarantines, and that
// exchanges pass both the quarantine and its lifting on to a peer.
func TestOperatorLiftsQuarantine(t *testing.T) {
	meter, err := telemetry.NewMeter()
	assert.NilError(t, err)
	d := &Daemon{meter: meter, gateway: gateway.New(gateway.Options{Meter: meter})}
	peer := &Daemon{meter: meter, gateway: gateway.New(gateway.Options{Meter: meter})}
	o, f, now := newOperatorServer(d), quarantine.FingerprintOf("a", "POST", "", "/", nil), time.Now()
	request := func(method, path string, reply any) int {
		response, err := o.app.Test(httptest.NewRequest(method, path, nil))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		if reply != nil {
			assert.NilError(t, json.NewDecoder(response.Body).Decode(reply))
		}
		return response.StatusCode
	}
	exchange := func() { peer.quarantineExchange().Merge("d", d.quarantineExchange().Report()) }
	for i := range 3 {
		ended := now.Add(time.Duration(i-3) * time.Second)
		d.gateway.Guard().Blame(f, quarantine.Crash{Worker: fmt.Sprint("w", i), Sent: ended, Ended: ended})
	}
	exchange()
	assert.Assert(t, peer.gateway.Guard().Table().State(f, now).Quarantined)
	var rows []QuarantineRow
	assert.Equal(t, request(http.MethodGet, "/api/quarantine", &rows), http.StatusOK)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Fingerprint, f)
	assert.DeepEqual(t, rows[0].Workers, []string{"w0", "w1", "w2"})

	assert.Equal(t, request(http.MethodDelete, "/api/quarantine/none", nil), http.StatusBadRequest)
	assert.Equal(t, request(http.MethodDelete, "/api/quarantine/"+f.String(), nil), http.StatusOK)
	assert.Equal(t, request(http.MethodDelete, "/api/quarantine/"+f.String(), nil), http.StatusNotFound)
	exchange()
	assert.Assert(t, !peer.gateway.Guard().Table().State(f, now).Quarantined)
}

// TestExchangeCarriesQuarantine checks that a running daemon reports its quarantine entries
// in its answer to an exchange.
func TestExchangeCarriesQuarantine(t *testing.T) {
	d := startDaemon(t)
	defer d.Stop()
	f, now := quarantine.FingerprintOf("a", "POST", "", "/", nil), time.Now()
	for i := range 3 {
		ended := now.Add(time.Duration(i-3) * time.Second)
		d.gateway.Guard().Blame(f, quarantine.Crash{Worker: fmt.Sprint("w", i), Sent: ended, Ended: ended})
	}
	reply, err := d.peerServer.Exchange(t.Context(), &rpc.ExchangeRequest{From: "peer"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Quarantine), 1)
	assert.DeepEqual(t, reply.Quarantine[0].Fingerprint, f[:])
}
