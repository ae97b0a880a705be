package proxy

import "bytes"

// eventEnd terminates an event of a stream.
var eventEnd = []byte("\n\n")

// idField starts the line of an event that carries its ID.
var idField = []byte("id:")

// splitEvents splits data after its last complete event.
func splitEvents(data []byte) (events, rest []byte) {
	i := bytes.LastIndex(data, eventEnd)
	if i < 0 {
		return nil, data
	}
	return data[:i+len(eventEnd)], data[i+len(eventEnd):]
}

// lastID returns the ID of the last event that has one, or an empty string.
func lastID(events []byte) string {
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		if value, ok := bytes.CutPrefix(events[start:end], idField); ok {
			return string(bytes.TrimSpace(value))
		}
		end = start
	}
	return ""
}
