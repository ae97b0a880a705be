package answercheck

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// serveRaw answers each request with the given bytes, and returns the URL.
func serveRaw(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerRaw(c, answer)
		}
	}()
	return "http://" + l.Addr().String()
}

func answerRaw(c net.Conn, answer string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// receive returns the body of the answer, or the error of the request or of reading its body.
func receive(t *testing.T, answer string) (string, error) {
	t.Helper()
	client := &http.Client{Transport: &Transport{Transport: &http.Transport{}}}
	t.Cleanup(client.CloseIdleConnections)
	response, err := client.Get(serveRaw(t, answer))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
