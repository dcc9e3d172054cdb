package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"graniteknot.org/go/internal/core/explain"
)

// Table counts requests by the second of their arrival, and by cause.
type Table struct {
	// Start is the second of the first arrival, which the first of Seconds counts.
	Start   time.Time
	Seconds []map[Cause]int
	// Total is the sum over all seconds.
	Total map[Cause]int
}

// Count counts the requests in the lines of all processes.
func Count(lines []explain.Line) *Table {
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.Time.Compare(b.Time) })
	g := historyOf(lines)
	waited := map[string]time.Duration{}
	t := &Table{Total: map[Cause]int{}}
	type end struct {
		arrived time.Time
		cause   Cause
	}
	var ends []end
	for i := range lines {
		l := &lines[i]
		id := l.Get("request")
		switch l.Event {
		case "attempt":
			waited[id] = max(waited[id], milliseconds(l.Get("waited_ms")))
		case "request", "refused":
			ends = append(ends, end{l.Time.Add(-milliseconds(l.Get("took_ms"))), causeOf(l, waited[id], g)})
		}
	}
	if len(ends) == 0 {
		return t
	}
	slices.SortFunc(ends, func(a, b end) int { return a.arrived.Compare(b.arrived) })
	t.Start = ends[0].arrived.Truncate(time.Second)
	for _, e := range ends {
		for int(e.arrived.Sub(t.Start)/time.Second) >= len(t.Seconds) {
			t.Seconds = append(t.Seconds, map[Cause]int{})
		}
		t.Seconds[e.arrived.Sub(t.Start)/time.Second][e.cause]++
		t.Total[e.cause]++
	}
	return t
}

// Write prints the totals, the most frequent first, and the seconds in which
// requests were lost or late.
func (t *Table) Write(w io.Writer) error {
	all := 0
	for _, n := range t.Total {
		all += n
	}
	if _, err := fmt.Fprintf(w, "%d requests\n", all); err != nil {
		return err
	}
	for _, c := range byCount(t.Total) {
		if _, err := fmt.Fprintf(w, "%7d  %s\n", t.Total[c], c); err != nil {
			return err
		}
	}
	for i, second := range t.Seconds {
		if err := writeSecond(w, t.Start.Add(time.Duration(i)*time.Second), second); err != nil {
			return err
		}
	}
	return nil
}

func writeSecond(w io.Writer, at time.Time, second map[Cause]int) error {
	all := 0
	for _, n := range second {
		all += n
	}
	if all == second[CauseInTime] {
		return nil
	}
	if _, err := fmt.Fprintf(w, "%s  %d of %d in time", at.Format("15:04:05"), second[CauseInTime], all); err != nil {
		return err
	}
	for _, c := range byCount(second) {
		if c == CauseInTime {
			continue
		}
		if _, err := fmt.Fprintf(w, "; %d %s", second[c], c); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

// byCount returns the causes, the most frequent first.
func byCount(m map[Cause]int) []Cause {
	var out []Cause
	for c := range m {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Cause) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
	return out
}
