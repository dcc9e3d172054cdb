package eventstream

import "bytes"

// Next returns the data of the first of complete events, and the events behind it; false if it is no event. The lines
// of an event's data are joined with "\n"; an event without data has none.
func Next(complete []byte) (data, rest []byte, ok bool) {
	b := nextEvent(complete)
	if _, ok := parseEvent(b); !ok {
		return nil, complete, false
	}
	for line := range bytes.Lines(b) {
		name, value, _ := bytes.Cut(trimCR(bytes.TrimSuffix(line, []byte("\n"))), []byte(":"))
		if string(name) != "data" {
			continue
		}
		if data != nil {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data, complete[len(b):], true
}
