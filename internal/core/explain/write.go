package explain

import (
	"fmt"
	"io"
	"strings"
)

// Write prints a history, with times in milliseconds since its first line.
func Write(w io.Writer, s *History) error {
	if _, err := fmt.Fprintf(w, "request %s\n", s.Request); err != nil {
		return err
	}
	const micros = 1000
	for i := range s.Lines {
		l := &s.Lines[i]
		at := float64(l.Time.Sub(s.Lines[0].Time).Microseconds()) / micros
		if _, err := fmt.Fprintf(w, "%10.1f ms  %s  %s  %s\n", at, l.Box, l.Event, fields(l)); err != nil {
			return err
		}
	}
	for _, text := range s.Stream {
		if _, err := fmt.Fprintf(w, "stream: %s\n", text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", s.Cause)
	return err
}

// fields formats a line's fields except for the request's id.
func fields(l *Line) string {
	var parts []string
	for _, f := range l.Fields {
		if f.Name != "request" {
			parts = append(parts, f.Name+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}
