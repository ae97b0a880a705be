package relay

import "bytes"

// eventEnd terminates an event of a stream.
var eventEnd = []byte("\n\n")

// idField starts the line of an event that carries its ID.
var idField = []byte("id:")

// splitEvents splits data after its last complete event.
func splitEvents(data []byte) (complete, rest []byte) {
	i := bytes.LastIndex(data, eventEnd)
	if i < 0 {
		return nil, data
	}
	return data[:i+len(eventEnd)], data[i+len(eventEnd):]
}

// lastID returns the ID of the last event that has one, or an empty string.
func lastID(complete []byte) string {
	for end := len(complete); end > 0; {
		start := bytes.LastIndexByte(complete[:end-1], '\n') + 1
		if value, ok := bytes.CutPrefix(complete[start:end], idField); ok {
			return string(bytes.TrimSpace(value))
		}
		end = start
	}
	return ""
}
