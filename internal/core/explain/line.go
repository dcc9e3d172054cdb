package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLine bounds a line of a log file, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time  time.Time
	Event string
	Box   string
	// Fields are in the order of the line.
	Fields []Field
}

// Field is a name and its value as it is written.
type Field struct {
	Name, Value string
}

// Get returns a field's value; empty when there is none.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Read returns the events in a log file. Other lines are passed over.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}

// parse reads one line from its first brace on.
func parse(b []byte) (Line, bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(b[at:]))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return Line{}, false
	}
	var l Line
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return Line{}, false
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return Line{}, false
		}
		l.set(fmt.Sprint(name), value)
	}
	return l, l.Event != "" && !l.Time.IsZero()
}

func (l *Line) set(name string, value any) {
	text := fmt.Sprint(value)
	switch name {
	case "time":
		// A line without a readable time is passed over by parse.
		l.Time, _ = time.Parse(time.RFC3339Nano, text)
	case "msg":
		l.Event = text
	case "box":
		l.Box = text
	case "level", "role":
	default:
		l.Fields = append(l.Fields, Field{name, text})
	}
}
