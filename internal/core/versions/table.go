package versions

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"graniteknot.org/go/internal/core/explain"
)

// Table is what log files tell of versions.
type Table struct {
	// Ways are in order of their versions.
	Ways []*Way
	// Behind are the gateways whose last version is not the newest, with it.
	Behind map[string]int64
}

// Read reads the lines of all gateways. A gateway that has started anew counts from then on.
func Read(lines []explain.Line) *Table {
	ways, last := map[int64]*Way{}, map[string]int64{}
	newest := int64(0)
	for i := range lines {
		l := &lines[i]
		if l.Event == "started" {
			delete(last, l.Box)
		}
		version, err := strconv.ParseInt(l.Get("version"), 10, 64)
		if l.Event != "configuration" || err != nil {
			continue
		}
		if ways[version] == nil {
			ways[version] = &Way{Version: version}
		}
		ways[version].add(l.Time, l.Box, l.Get("read_by"), l.Get("by"))
		last[l.Box] = version
		newest = max(newest, version)
	}
	t := &Table{Behind: map[string]int64{}}
	t.Ways = slices.SortedFunc(maps.Values(ways), func(a, b *Way) int { return cmp.Compare(a.Version, b.Version) })
	for box, version := range last {
		if version < newest {
			t.Behind[box] = version
		}
	}
	return t
}

// Write prints a line for each version, and who is behind.
func (t *Table) Write(w io.Writer) error {
	for _, x := range t.Ways {
		_, err := fmt.Fprintf(w, "version %d  %s  read by %s, in force at %d gateways within %d ms, last at %s, told by %s\n",
			x.Version, x.First.Format("15:04:05.000"), x.Reader, x.Boxes, x.Last.Sub(x.First)/time.Millisecond, x.Slowest, x.ToldBy)
		if err != nil {
			return err
		}
	}
	for _, box := range slices.Sorted(maps.Keys(t.Behind)) {
		if _, err := fmt.Fprintf(w, "behind: %s has version %d\n", box, t.Behind[box]); err != nil {
			return err
		}
	}
	return nil
}
