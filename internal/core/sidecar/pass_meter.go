package sidecar

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// passWindow is the window over which the mean duration of passes is computed: several passes, since
// reading prompts makes some of them longer.
const passWindow = 360 * time.Millisecond

// passMeter measures the duration of passes from observations of the last one begun. The zero value is
// ready to use.
type passMeter struct {
	// observations are in order of time; the first is the newest that is passWindow old.
	observations []passObservation
}

type passObservation struct {
	step graniteknot.Step
	at   time.Time
}

// observe adds an observation and returns the mean duration of a pass; 0 if it is unknown, as in an
// idle group. While a group that has work begins no pass, as when a rank is cut off, the earlier passes
// predict the later ones.
func (m *passMeter) observe(step graniteknot.Step, working bool, now time.Time) time.Duration {
	if n := len(m.observations); n > 0 && step < m.observations[n-1].step {
		// The rank has restarted.
		m.observations = nil
	}
	if n := len(m.observations); n > 0 && step == m.observations[n-1].step && working {
		return m.mean()
	}
	m.observations = append(m.observations, passObservation{step, now})
	for len(m.observations) > 2 && now.Sub(m.observations[1].at) >= passWindow {
		m.observations = m.observations[1:]
	}
	return m.mean()
}

// mean returns the mean duration of the passes between the observations.
func (m *passMeter) mean() time.Duration {
	first, last := m.observations[0], m.observations[len(m.observations)-1]
	if last.step <= first.step {
		return 0
	}
	return last.at.Sub(first.at) / time.Duration(last.step-first.step)
}
