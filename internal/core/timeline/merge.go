package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"graniteknot.org/go/internal/wire"
)

// Merge puts the events of many processes into one order: by stamp, then by
// box, so that every merge of the same events is the same.
func Merge(parts ...[]*wire.Event) []*wire.Event {
	all := slices.Concat(parts...)
	slices.SortStableFunc(all, func(a, b *wire.Event) int {
		return cmp.Or(cmp.Compare(a.GetClock(), b.GetClock()), strings.Compare(a.GetBox(), b.GetBox()))
	})
	return all
}

// Format names a form to write a time line in.
type Format string

// The forms.
const (
	FormatText  Format = "text"
	FormatJSON  Format = "json"
	FormatTrace Format = "trace"
)

// Write writes merged events in a form.
func Write(w io.Writer, format Format, events []*wire.Event) error {
	switch format {
	case FormatJSON:
		return writeJSON(w, events)
	case FormatTrace:
		return writeTrace(w, events)
	case FormatText:
		return writeText(w, events)
	}
	return fmt.Errorf("timeline: unknown format %q", format)
}

func writeText(w io.Writer, events []*wire.Event) error {
	for _, e := range events {
		stamp := Stamp(e.GetClock())
		_, err := fmt.Fprintf(w, "%s.%05d %-14s %-6s %-17s %s\n", stamp.Time().UTC().Format("15:04:05.000"),
			stamp&(1<<counterBits-1), e.GetBox(), e.GetRole(), e.GetKind(), details(e))
		if err != nil {
			return err
		}
	}
	return nil
}

func details(e *wire.Event) string {
	var parts []string
	if e.GetRequest() != "" {
		parts = append(parts, fmt.Sprintf("request=%s/%d", e.GetRequest(), e.GetAttempt()))
	}
	if e.GetOffset() != 0 {
		parts = append(parts, fmt.Sprintf("offset=%d", e.GetOffset()))
	}
	if e.GetDetail() != "" {
		parts = append(parts, e.GetDetail())
	}
	return strings.Join(parts, " ")
}

func writeJSON(w io.Writer, events []*wire.Event) error {
	for _, e := range events {
		line, err := protojson.Marshal(e)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "%s\n", line); err != nil {
			return err
		}
	}
	return nil
}

// traceEvent is one line of the Chrome trace format.
type traceEvent struct {
	Name  string    `json:"name"`
	Phase string    `json:"ph"`
	Scope string    `json:"s,omitempty"`
	Micro uint64    `json:"ts"`
	PID   int       `json:"pid"`
	TID   int       `json:"tid"`
	Args  traceArgs `json:"args"`
}

type traceArgs struct {
	Name    string `json:"name,omitempty"`
	Request string `json:"request,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	Offset  int64  `json:"offset,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

type traceFile struct {
	Events []traceEvent `json:"traceEvents"`
}

// writeTrace shows each box as one process of the trace.
func writeTrace(w io.Writer, events []*wire.Event) error {
	var file traceFile
	var boxes []string
	for _, e := range events {
		name := e.GetRole() + " " + e.GetBox()
		pid := slices.Index(boxes, name)
		if pid < 0 {
			pid = len(boxes)
			boxes = append(boxes, name)
			file.Events = append(file.Events, traceEvent{
				Name: "process_name", Phase: "M", PID: pid, Args: traceArgs{Name: name},
			})
		}
		file.Events = append(file.Events, instant(e, pid))
	}
	return json.NewEncoder(w).Encode(file)
}

func instant(e *wire.Event, pid int) traceEvent {
	ms := e.GetClock() >> counterBits
	return traceEvent{
		Name: e.GetKind(), Phase: "i", Scope: "p", PID: pid,
		Micro: ms*1000 + min(e.GetClock()&(1<<counterBits-1), 999),
		Args: traceArgs{
			Request: e.GetRequest(), Attempt: e.GetAttempt(), Offset: e.GetOffset(), Detail: e.GetDetail(),
		},
	}
}
