package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionsAreExported checks that opened, reused and failed connections are exported
// for each service.
func TestConnectionsAreExported(t *testing.T) {
	m, err := NewMeter()
	assert.NilError(t, err)
	m.CountConnection("models", false)
	m.CountConnection("models", true)
	m.CountConnection("models", true)
	m.CountConnection("plain", false)
	m.CountFailedConnect("plain", "refused")
	m.CountStall(StallEnded)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`quartzshelf_connections_total{service="models",use="opened"} 1`,
		`quartzshelf_connections_total{service="models",use="reused"} 2`,
		`quartzshelf_connections_total{service="plain",use="opened"} 1`,
		`quartzshelf_connects_failed_total{cause="refused",service="plain"} 1`,
		`quartzshelf_stalls_total{event="ended"} 1`,
	} {
		assert.Assert(t, strings.Contains(recorder.Body.String(), want), "%s in %s", want, recorder.Body)
	}
}

// TestRetryBudgetsAreExported checks that the shares of retry budgets are exported by service.
func TestRetryBudgetsAreExported(t *testing.T) {
	m, err := NewMeter()
	assert.NilError(t, err)
	m.ExportRetryBudgets(func() []RetryBudget { return []RetryBudget{{Service: "models", Allowed: 12, Used: 3, Share: 0.125}} })
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for name, value := range map[string]string{"allowed": "12", "used": "3", "share": "0.125"} {
		want := `quartzshelf_retry_budget{name="` + name + `",service="models"} ` + value
		assert.Assert(t, strings.Contains(recorder.Body.String(), want), "%s in %s", want, recorder.Body)
	}
}

// TestStoreCallsAreExported checks that calls to the store are exported by purpose, and that
// none are exported before ExportStoreCalls is called.
func TestStoreCallsAreExported(t *testing.T) {
	m, err := NewMeter()
	assert.NilError(t, err)
	scrape := func() string {
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return recorder.Body.String()
	}
	assert.Assert(t, !strings.Contains(scrape(), "quartzshelf_store_calls"))
	m.ExportStoreCalls(func() map[string]int64 { return map[string]int64{"list members": 3} })
	assert.Assert(t, strings.Contains(scrape(), `quartzshelf_store_calls_total{purpose="list members"} 3`))
}
