package client

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/rawserver"
)

// TestOddNodeStopsNoReader guards against readers of the node list that stop following it because another writer
// left an odd entry.
func TestOddNodeStopsNoReader(t *testing.T) {
	tests := map[string]string{
		"deep nesting":                    strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"deep nesting in a field":         `{"id":"odd","more":` + strings.Repeat(`{"a":`, 12_000) + "1" + strings.Repeat("}", 12_000) + `}`,
		"a number beyond any type":        `{"id":"odd","accelerators":1e400}`,
		"a number beyond an integer":      `{"id":"odd","accelerators":99999999999999999999}`,
		"as great a number as fits":       `{"id":"odd","accelerators":9223372036854775807}`,
		"a field of another type":         `{"id":"odd","address":["127.0.0.1:80"]}`,
		"no id":                           `{"address":"127.0.0.1:80"}`,
		"a text":                          `"odd, ]}"`,
		"null":                            `null`,
		"brackets in a text":              `{"id":7,"more":"[[{{\"]"}`,
		"a list of nodes in a node":       `{"nodes":[{"id":"odd"}]}`,
		"an entry of the list's own name": `"nodes"`,
	}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			list := fmt.Sprintf(`{"at":{"nodes":[]},"nodes":[{"id":"n-1","accelerators":8}, %s ,{"id":"n-2"}]}`, odd)
			address := rawserver.Serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
			nodes, err := New(Options{NodeListAddress: address}).Nodes(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(nodes), 2)
			assert.Equal(t, nodes[0].ID, "n-1")
			assert.Equal(t, nodes[0].Accelerators, 8)
			assert.Equal(t, nodes[1].ID, "n-2")
		})
	}
}

// TestBrokenNodeListIsAnError: a list that is not whole is no list.
func TestBrokenNodeListIsAnError(t *testing.T) {
	for _, list := range []string{"", "{", "[]", `{"nodes":7}`, `{"nodes":[{"id":"n-1"},`, `{"other":[]}`, `{"nodes":[{"id":"n-1"`, `{"nodes":[{"id":"n-1"}`} {
		t.Run(list, func(t *testing.T) {
			address := rawserver.Serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
			_, err := New(Options{NodeListAddress: address}).Nodes(t.Context())
			assert.Assert(t, err != nil)
		})
	}
}
