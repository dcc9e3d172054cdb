package eventstream

import (
	"bytes"
	"unicode/utf8"
)

// event is what a complete event says of itself.
type event struct {
	// id is its ID; empty if it has none.
	id []byte
	// data reports that it carries data; others are comments and settings of the stream.
	data bool
}

const (
	// maxFieldName bounds the name of a field, in bytes.
	maxFieldName = 64
	// maxID bounds an ID, in bytes. It is that of the IDs that are accepted from callers.
	maxID = 128
)

// byteOrderMark may begin a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// parseEvent parses a complete event; false for bytes that are none.
func parseEvent(b []byte) (event, bool) {
	if !utf8.Valid(b) || bytes.IndexByte(b, 0) >= 0 {
		return event{}, false
	}
	b = bytes.TrimPrefix(b, byteOrderMark)
	var e event
	known, empty := false, true
	for line := range bytes.Lines(b) {
		line = trimCR(bytes.TrimSuffix(line, []byte("\n")))
		if len(line) == 0 {
			continue
		}
		empty = false
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) == 0 {
			known = true
			continue
		}
		if !isFieldName(name) {
			return event{}, false
		}
		switch string(name) {
		case "id":
			e.id, known = bytes.TrimSpace(value), true
		case "data":
			e.data, known = true, true
		case "event", "retry":
			known = true
		}
	}
	return e, (known || empty) && isID(e.id)
}

// isID reports whether an ID, or none, can be sent as a header's value.
func isID(id []byte) bool {
	for _, c := range id {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return len(id) <= maxID
}

// isFieldName reports whether a name may be that of a field. Unknown fields are allowed.
func isFieldName(name []byte) bool {
	if len(name) > maxFieldName {
		return false
	}
	for _, c := range name {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

// number returns the digits of the number that an ID is, of any length and without leading zeros; false for one
// that is none.
func number(id []byte) ([]byte, bool) {
	for _, c := range id {
		if c < '0' || c > '9' {
			return nil, false
		}
	}
	return bytes.TrimLeft(id, "0"), len(id) > 0
}

// isBelow reports whether the number with the digits a is lower than that with the digits b.
func isBelow(a, b []byte) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return bytes.Compare(a, b) < 0
}
