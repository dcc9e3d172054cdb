package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxLine bounds a line of a log file, in bytes.
const maxLine = 1 << 20

// Line is a line of a log.
type Line struct {
	Time  time.Time
	Event string
	Box   string
	// Fields are in the order in which they were logged.
	Fields []Field
}

// Field is a name and its value as logged.
type Field struct {
	Name, Value string
}

// Get returns a field's value; empty if the line lacks it.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Read returns the events in a log file and ignores other lines, those longer than maxLine included.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	lines := bufio.NewReaderSize(r, maxLine)
	rest := false
	for {
		text, prefix, err := lines.ReadLine()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		if l, ok := parse(text); ok && !prefix && !rest {
			out = append(out, l)
		}
		rest = prefix
	}
}

// parse parses a line from its first brace on.
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
	if _, err := decoder.Token(); err != nil {
		// The line is cut, and its last value may be.
		return Line{}, false
	}
	return l, l.Event != "" && !l.Time.IsZero()
}

func (l *Line) set(name string, value any) {
	text := fmt.Sprint(value)
	switch name {
	case "time":
		// parse ignores a line whose time is invalid.
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
