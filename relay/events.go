package relay

import "bytes"

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// idField begins the line of an event that carries its id.
var idField = []byte("id:")

// splitEvents cuts data after its last whole event.
func splitEvents(data []byte) (whole, rest []byte) {
	i := bytes.LastIndex(data, eventEnd)
	if i < 0 {
		return nil, data
	}
	return data[:i+len(eventEnd)], data[i+len(eventEnd):]
}

// lastID returns the id of the last event in whole events, or an empty string
// when none has one.
func lastID(whole []byte) string {
	for end := len(whole); end > 0; {
		start := bytes.LastIndexByte(whole[:end-1], '\n') + 1
		if value, ok := bytes.CutPrefix(whole[start:end], idField); ok {
			return string(bytes.TrimSpace(value))
		}
		end = start
	}
	return ""
}
