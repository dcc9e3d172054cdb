package sidecar

import (
	"math"
	"time"

	"graniteknot.org/go/internal/core/ranks"
)

// skewChange is the relative change of the skew that is reported to gateways at once.
const skewChange = 0.2

// setForecast records the forecast of this process's coordinator, and has it reported at once if the
// skew has changed much.
func (s *Sidecar) setForecast(f ranks.Forecast) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forecast = f
	if math.Abs(f.Skew-s.reportedSkew) < skewChange*s.reportedSkew {
		return
	}
	s.reportedSkew = f.Skew
	select {
	case s.reportNow <- struct{}{}:
	default:
	}
}

// maxForecastAge is for how long a coordinator's forecast is passed on: longer than its interval
// between two reads while its group does not run.
const maxForecastAge = time.Second

// groupForecast returns the last forecast of the group's coordinator, which is this process or
// another one whose messages are received. All sidecars of a group pass it on, so that it reaches the
// gateways even if the coordinator's link is slow.
func (s *Sidecar) groupForecast(now time.Time) ranks.Forecast {
	s.mu.Lock()
	own := s.forecast
	s.mu.Unlock()
	f, at := s.executor.Forecast()
	if own.Sequence > f.Sequence {
		return own
	}
	if now.Sub(at) > maxForecastAge {
		return ranks.Forecast{}
	}
	return f
}
