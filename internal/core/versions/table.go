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

// Table is the distribution of all versions.
type Table struct {
	// Rollouts are in order of their versions.
	Rollouts []*Rollout
	// Behind maps the gateways whose last version is not the newest to that version.
	Behind map[string]int64
}

// Read returns the table for the lines of all gateways. Only lines since a gateway's last start
// count toward Behind.
func Read(lines []explain.Line) *Table {
	rollouts, last := map[int64]*Rollout{}, map[string]int64{}
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
		if rollouts[version] == nil {
			rollouts[version] = &Rollout{Version: version}
		}
		rollouts[version].add(l.Time, l.Box, l.Get("read_by"), l.Get("by"))
		last[l.Box] = version
		newest = max(newest, version)
	}
	t := &Table{Behind: map[string]int64{}}
	t.Rollouts = slices.SortedFunc(maps.Values(rollouts), func(a, b *Rollout) int { return cmp.Compare(a.Version, b.Version) })
	for box, version := range last {
		if version < newest {
			t.Behind[box] = version
		}
	}
	return t
}

// Write prints a line for each version and for each gateway that is behind.
func (t *Table) Write(w io.Writer) error {
	for _, x := range t.Rollouts {
		_, err := fmt.Fprintf(w, "version %d  %s  read by %s, in force at %d gateways within %d ms, last at %s, told by %s\n",
			x.Version, x.First.Format("15:04:05.000"), x.Reader, x.Boxes, x.Last.Sub(x.First)/time.Millisecond, x.Slowest, x.Source)
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
