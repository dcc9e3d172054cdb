package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds one process's figures. The zero value counts nothing; make one
// that does with New.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without figures.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Label is a name and value of a figure.
type Label struct {
	Name, Value string
}

// Count adds one to a counter.
func (m *Meter) Count(name string, labels ...Label) { m.Add(name, 1, labels...) }

// Add adds to a counter.
func (m *Meter) Add(name string, n int, labels ...Label) {
	if m == nil || m.set == nil {
		return
	}
	m.set.GetOrCreateCounter(full(name, labels)).Add(n)
}

// Observe takes a duration into a histogram of seconds.
func (m *Meter) Observe(name string, d time.Duration, labels ...Label) {
	if m == nil || m.set == nil {
		return
	}
	m.set.GetOrCreateHistogram(full(name, labels)).Update(d.Seconds())
}

// Gauge has a figure read whenever the figures are told.
func (m *Meter) Gauge(name string, read func() float64, labels ...Label) {
	if m == nil || m.set == nil {
		return
	}
	m.set.GetOrCreateGauge(full(name, labels), read)
}

// Write writes all figures and those of the process.
func (m *Meter) Write(w io.Writer) {
	if m != nil && m.set != nil {
		m.set.WritePrometheus(w)
	}
	metrics.WriteProcessMetrics(w)
}

// full writes a figure's name with its labels.
func full(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	out := name + "{"
	for i, l := range labels {
		if i > 0 {
			out += ","
		}
		out += fmt.Sprintf("%s=%q", l.Name, l.Value)
	}
	return out + "}"
}
