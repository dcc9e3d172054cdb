package explain

import (
	"fmt"
	"strconv"
)

// stream describes the stream of a request, a sentence for each attempt that had one: which events its
// replica sent, how it ended and what proved the end.
func stream(own []Line) []string {
	var out []string
	dropped, whole := 0, false
	for i := range own {
		l := &own[i]
		if l.Event != "attempt" || l.Get("framing") == "" {
			continue
		}
		text := fmt.Sprintf("attempt %s at %s: %s, %s", l.Get("attempt"), l.Get("replica"), events(l), streamEnd(l))
		// The lines count the events that were left out since the request arrived.
		if n, err := strconv.Atoi(l.Get("dropped")); err == nil && n > dropped {
			text += fmt.Sprintf("; %d left out, which the caller had", n-dropped)
			dropped = n
		}
		if left := l.Get("left_ms"); left != "" {
			text += fmt.Sprintf("; %s ms were left", left)
		}
		out = append(out, text)
		switch l.Get("end") {
		case "whole", "unconfirmed":
			whole = true
		default:
			// An attempt without events takes nothing from an end that it was to confirm.
			whole = whole && l.Get("events") == "0"
		}
	}
	if len(out) > 0 && !whole {
		out = append(out, "no attempt proved its end: what the caller has is incomplete")
	}
	return out
}

// events describes the events that the replica of an attempt sent.
func events(l *Line) string {
	switch l.Get("events") {
	case "", "0":
		return "no event with an id"
	case "1":
		return "1 event, id " + l.Get("first_id")
	}
	return fmt.Sprintf("%s events, ids %s to %s", l.Get("events"), l.Get("first_id"), l.Get("last_id"))
}

// streamEnd describes how the stream of an attempt ended.
func streamEnd(l *Line) string {
	switch l.Get("end") {
	case "whole":
		return "whole, proved by " + proof(l.Get("framing"))
	case "unconfirmed":
		return "its connection was closed, and its replica lives on; another was to send what may follow"
	case "behind":
		return "began anew, and ended in order before what the caller has"
	case "in-event":
		return "ended within an event"
	case "cut":
		return "its connection was closed before " + proof(l.Get("framing"))
	case "reset":
		return "its connection was reset"
	case "deadline":
		return "ended in order when its replica may have stopped for want of time"
	case "replica-ended":
		return "its connection was closed, and its replica accepted no other"
	case "aborted":
		return "the gateway broke it off: " + aborted(l)
	}
	return "ended as " + l.Get("end")
}

// proof names what proves the end of a response.
func proof(framing string) string {
	switch framing {
	case "chunks":
		return "its last chunk"
	case "length":
		return "its whole length"
	}
	return "a new connection to its replica, since it has no length"
}

// aborted describes why the gateway broke a stream off.
func aborted(l *Line) string {
	switch l.Get("problem") {
	case "no-event":
		return "bytes that are no event"
	case "no-id":
		return "an event without an id behind one that has one"
	case "id-does-not-rise":
		return "an id that does not rise"
	case "other-run":
		return "it began anew, with other events"
	}
	return l.Get("reason")
}
