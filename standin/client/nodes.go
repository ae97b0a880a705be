package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
)

// maxAccelerators limits the accelerators of a listed node. Larger numbers come from another writer.
const maxAccelerators = 1_000_000

// nodesField is the field of the node list that holds its entries.
const nodesField = "nodes"

var errNoEntries = errors.New("the node list has no entries")

// Nodes implements cluster.NodeList. Invalid entries are logged and left out.
func (c *Client) Nodes(ctx context.Context) ([]cluster.ListedNode, error) {
	const step = "read node list"
	data, err := c.exchange(ctx, step, http.MethodGet, c.nodesURL+"/nodes", nil)
	if err != nil {
		return nil, err
	}
	entries, err := splitEntries(data)
	if err != nil {
		return nil, failure.Wrap(failure.Remote, step, c.nodesURL, err)
	}
	nodes := make([]cluster.ListedNode, 0, len(entries))
	for _, entry := range entries {
		node, err := decodeNode(entry)
		if err != nil {
			c.logger.Warn("invalid node entry skipped", "error", err)
			continue
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

func decodeNode(entry []byte) (cluster.ListedNode, error) {
	var node cluster.ListedNode
	if err := json.Unmarshal(entry, &node); err != nil {
		return node, failure.Wrap(failure.Remote, "decode node entry", node.ID, err)
	}
	if node.ID == "" || node.Accelerators < 0 || node.Accelerators > maxAccelerators {
		return node, failure.New(failure.Remote, "decode node entry", node.ID, "the id is missing, or the number of accelerators %d is invalid", node.Accelerators)
	}
	return node, nil
}

// splitEntries returns the entries of a node list, each as it was sent. Unlike json.Unmarshal, it does not fail
// if one of them is nested too deeply.
func splitEntries(list []byte) ([][]byte, error) {
	d := json.NewDecoder(bytes.NewReader(list))
	// Numbers that fit no type are those of one entry only.
	d.UseNumber()
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		if name == nodesField {
			return splitArray(d, list)
		}
		if err := skipValue(d); err != nil {
			return nil, err
		}
	}
	return nil, errNoEntries
}

// splitArray returns the elements of the array that comes next.
func splitArray(d *json.Decoder, data []byte) ([][]byte, error) {
	var all [][]byte
	switch first, err := d.Token(); {
	case err != nil:
		return nil, err
	case first == nil:
		// An empty list may be null.
		return nil, nil
	case first != json.Delim('['):
		return nil, errNoEntries
	}
	for d.More() {
		begin := d.InputOffset()
		if err := skipValue(d); err != nil {
			return nil, err
		}
		all = append(all, bytes.TrimLeft(data[begin:d.InputOffset()], ", \t\r\n"))
	}
	_, err := d.Token()
	return all, err
}

// skipValue reads the value that comes next.
func skipValue(d *json.Decoder) error {
	for depth := 0; ; {
		token, err := d.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth <= 0 {
			return nil
		}
	}
}
