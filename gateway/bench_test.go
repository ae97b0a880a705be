package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/standin"
)

// timeStream requests a streamed answer from url, reads it to its end, and returns the time to the
// first byte of its body.
func timeStream(url string) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":"chat","prompt":"prompt","stream":true,"max_tokens":%d}`, tokenCount)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer demo-key")
	request.Header.Set(cluster.HeaderRequest, "r")
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer closeBody(response)
	if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil {
		return 0, err
	}
	first := time.Since(start)
	_, err = io.Copy(io.Discard, response.Body)
	return first, err
}

// BenchmarkStream compares a streamed answer through the gateway with one directly from the
// endpoint. The endpoint answers at once, so the difference is the overhead of the gateway.
func BenchmarkStream(b *testing.B) {
	h := newHarness(b)
	h.keepFirstEndpoint()
	for name, address := range map[string]string{"direct": h.endpoints[0].address, "through the gateway": h.address} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var totalFirstByteTime time.Duration
			for b.Loop() {
				firstByteTime, err := timeStream("http://" + address + "/v1/completions")
				if err != nil {
					b.Fatal(err)
				}
				totalFirstByteTime += firstByteTime
			}
			b.ReportMetric(float64(totalFirstByteTime.Microseconds())/float64(b.N), "µs-to-first-token")
		})
	}
}

// keepFirstEndpoint removes all replicas from the catalog except the one of the first endpoint.
func (h *harness) keepFirstEndpoint() {
	report := h.catalog.Reports()[0]
	report.Replicas = report.Replicas[1:2]
	report.Version++
	h.catalog.Publish(report, time.Now().Add(time.Hour))
}

// BenchmarkToken measures the cost of checking and relaying one token, without the network.
func BenchmarkToken(b *testing.B) {
	var events bytes.Buffer
	const count = 1000
	for i := range count {
		fmt.Fprintf(&events, "data: {\"id\":\"r\",\"object\":\"text_completion\",\"token_index\":%d,\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n",
			i, standin.Token(testPrompt, i))
	}
	out := bufio.NewWriter(io.Discard)
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += count {
		s := &tokenReader{
			attempt: &attempt{target: &target{}}, requestID: "r",
			reader: bufio.NewReader(bytes.NewReader(events.Bytes())),
		}
		for range count {
			data, _, err := s.readToken()
			if err != nil {
				b.Fatal(err)
			}
			_, _ = out.Write(data)
		}
	}
}

// BenchmarkChoice measures the choice of one of about 400 replicas.
func BenchmarkChoice(b *testing.B) {
	h := newHarness(b)
	report := &rpc.DomainReport{Domain: "fabric-2", DataHall: "hall-a", Token: &rpc.Token{Epoch: 1}, Version: 1}
	for i := range 400 {
		report.Replicas = append(report.Replicas, &rpc.ReplicaReport{
			Id: fmt.Sprint("large-", i), Deployment: "chat", Generation: 1, Serving: true, LeaderAddress: downAddress,
		})
	}
	h.catalog.Publish(report, time.Now().Add(time.Hour))
	view := h.gateway.opts.Config()
	deployment, _ := view.Deployment("chat")
	choose := h.gateway.chooseReplica(&request{id: "r", account: view.Accounts()[0]}, deployment, testPrompt)
	b.ReportAllocs()
	for b.Loop() {
		target, _ := choose(nil)
		target.finish()
	}
}
