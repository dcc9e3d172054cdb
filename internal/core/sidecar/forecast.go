package sidecar

import (
	"math"
	"time"

	"graniteknot.org/go/internal/core/ranks"
)

// tellSkew is by how much the skew changes for the gateways to be told at once.
const tellSkew = 0.2

// takeForecast notes what the own keeper knows of the length of passes, and has the
// gateways told at once when it has changed much.
func (s *Sidecar) takeForecast(f ranks.Forecast) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forecast = f
	if math.Abs(f.Skew-s.told) < tellSkew*s.told {
		return
	}
	s.told = f.Skew
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// forecastAge is for how long a keeper's forecast is passed on: for longer than the
// keeper's looks are apart while its group does not run.
const forecastAge = time.Second

// foretold is what the group's keeper foretold last: the own sidecar's keeper, or the
// one whose looks are heard. All sidecars of a group pass it on, so that it reaches the
// gateways also where the way from the keeper's box is slow.
func (s *Sidecar) foretold(now time.Time) ranks.Forecast {
	s.mu.Lock()
	own := s.forecast
	s.mu.Unlock()
	f, at := s.doer.Forecast()
	if own.Sequence > f.Sequence {
		return own
	}
	if now.Sub(at) > forecastAge {
		return ranks.Forecast{}
	}
	return f
}
