package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quartzshelf.dev/common/reason"
)

const goodSettings = `
name: entry-1
data_hall: hall-a
region: region-1
callers: 127.0.0.1:0
operators: 127.0.0.1:0
peers: 127.0.0.1:0
keep_entries: 1s
platform:
  embedded:
    configuration: configuration.yaml
    domains: [{name: fabric-1, data_hall: hall-a, nodes: 5, accelerators: 4, services: 1}]
    store_gb_per_second: 1000
    load_gb: 1
    step: 20ms
    slots: 8
`

func TestSettings(t *testing.T) {
	replace := func(old, replacement string) string { return strings.Replace(goodSettings, old, replacement, 1) }
	cases := map[string]struct {
		text string
		want string
	}{
		"good":              {goodSettings, ""},
		"unknown field":     {goodSettings + "colour: red\n", `unknown field "colour"`},
		"host name":         {replace("callers: 127.0.0.1:0", "callers: localhost:7400"), "field callers"},
		"no data hall":      {replace("data_hall: hall-a", "data_hall: ''"), "field data_hall"},
		"bad window":        {goodSettings + "serve_window: 1s\n", "field serve_window"},
		"bad seed":          {goodSettings + "seeds: [127.0.0.1]\n", "field seeds[0]"},
		"bad log format":    {goodSettings + "log: {level: info, format: xml}\n", "field log.format"},
		"two platforms":     {replace("platform:\n", "platform:\n  log: 127.0.0.1:1\n"), "field platform.embedded"},
		"malformed":         {"name: [", "settings.yaml"},
		"no platform":       {goodSettings[:strings.Index(goodSettings, "platform:")], "field platform.log"},
		"short retention":   {replace("platform:\n", "platform:\n  log_retention: 1m\n"), "field platform.log_retention"},
		"store of no speed": {replace("store_gb_per_second: 1000", "store_gb_per_second: 0"), "store_gb_per_second"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseSettings("settings.yaml", []byte(c.text))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// startDaemon starts a daemon on an embedded platform and waits until a replica serves.
// The configuration is that of the quickstart, but with one replica instead of two.
func startDaemon(t *testing.T) *Daemon {
	t.Helper()
	return startDaemonWith(t, goodSettings)
}

// startDaemonWith does what startDaemon does, with the given settings.
func startDaemonWith(t *testing.T, text string) *Daemon {
	t.Helper()
	dir := t.TempDir()
	documents, err := os.ReadFile("../examples/quickstart-configuration.yaml")
	assert.NilError(t, err)
	documents = bytes.Replace(documents, []byte("replicas: 2"), []byte("replicas: 1"), 1)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "configuration.yaml"), documents, 0o600))
	settings, err := ParseSettings(filepath.Join(dir, "settings.yaml"), []byte(text))
	assert.NilError(t, err)
	d, err := New(settings, hclog.NewNullLogger())
	assert.NilError(t, err)
	d.Start()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.NilError(t, d.ApplyConfigurationFile(ctx, settings.ConfigurationFile()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(d.catalog.Serving("demo", time.Now())) == 1 {
			return poll.Success()
		}
		return poll.Continue("no replica serves yet: %+v", d.status().Replicas)
	}, poll.WithTimeout(time.Minute))
	return d
}

// TestPlannedStopCutsNothingOff checks that a planned stop lets a stream in flight finish.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	d := startDaemon(t)
	callers, _ := d.Addresses()
	body := `{"model":"demo","stream":true,"prompt":"p","max_tokens":150}`
	request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(response.Body, first)
	assert.NilError(t, err)
	go d.Stop()
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, bytes.Count(rest, []byte("token_index")), 150)
	assert.Assert(t, bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")))
	<-d.Done()
	_, err = http.Get("http://" + callers + "/v1/entries")
	assert.ErrorContains(t, err, "refused")
}

// keptCaller sends requests over one connection.
type keptCaller struct {
	client  *http.Client
	address string
}

// newKeptCaller opens a connection by a first request.
func newKeptCaller(t *testing.T, address string) *keptCaller {
	t.Helper()
	c := &keptCaller{client: &http.Client{Transport: &http.Transport{}}, address: address}
	t.Cleanup(c.client.CloseIdleConnections)
	response, err := c.client.Get("http://" + address + "/v1/entries")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return c
}

// complete sends a short completion, which net/http does not repeat.
func (c *keptCaller) complete() error {
	body := io.NopCloser(strings.NewReader(`{"model":"demo","prompt":"p","max_tokens":1}`))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/v1/completions", body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// TestStopAnswersKeptConnections guards against connections that a stopping daemon closes while callers use
// them and other requests are in flight.
func TestStopAnswersKeptConnections(t *testing.T) {
	const callers, interval = 40, 50 * time.Millisecond
	d := startDaemon(t)
	address, _ := d.Addresses()
	var kept []*keptCaller
	for range callers {
		kept = append(kept, newKeptCaller(t, address))
	}
	body := strings.NewReader(`{"model":"demo","stream":true,"prompt":"p","max_tokens":200}`)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", body)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	streamed := make(chan error)
	go func() {
		_, err := io.Copy(io.Discard, response.Body)
		streamed <- err
	}()
	go d.Stop()
	for i, c := range kept {
		time.Sleep(interval)
		err := c.complete()
		select {
		case err := <-streamed:
			assert.NilError(t, err)
			<-d.Done()
			return
		default:
			assert.NilError(t, err, "caller %d", i)
		}
	}
	assert.NilError(t, <-streamed)
	<-d.Done()
}

// TestKilledDaemonLeavesNothingRunning checks that Kill stops the background tasks.
func TestKilledDaemonLeavesNothingRunning(t *testing.T) {
	d := startDaemon(t)
	d.Kill()
	<-d.Done()
	<-d.controller.Done()
	<-d.agent.Done()
}

// TestPortInUse checks that the error for a port in use names the step and the address.
func TestPortInUse(t *testing.T) {
	d := startDaemon(t)
	defer d.Kill()
	usedAddress, _ := d.Addresses()
	text := strings.Replace(goodSettings, "callers: 127.0.0.1:0", "callers: "+usedAddress, 1)
	settings, err := ParseSettings("settings.yaml", []byte(text))
	assert.NilError(t, err)
	_, err = New(settings, hclog.NewNullLogger())
	assert.ErrorContains(t, err, "listen for callers")
	assert.ErrorContains(t, err, usedAddress)
}

// TestOperatorsPageNamesEveryReason checks that the operators' page explains every reason
// that the counters use as a label.
func TestOperatorsPageNamesEveryReason(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	assert.NilError(t, err)
	for _, r := range append(reason.Refusals(), reason.Retries()...) {
		assert.Assert(t, bytes.Contains(page, []byte("`"+string(r)+"`")), "%s is not on the page", r)
	}
}
