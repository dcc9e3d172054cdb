package readers_test

import (
	"testing"
	"time"

	"graniteknot.org/go/internal/core/readers"
)

// FuzzStanding reads any bytes, and reads again what it writes of them; an age is rounded up.
func FuzzStanding(f *testing.F) {
	for _, s := range []readers.TopicStatus{{}, {State: 7, Age: time.Second, StoreHealthy: true, Reader: "entry-1"}} {
		f.Add(s.Encode())
	}
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := readers.DecodeTopicStatus(body)
		if err != nil {
			return
		}
		again, err := readers.DecodeTopicStatus(s.Encode())
		s.Age += time.Microsecond
		if s.Age > time.Hour {
			return
		}
		if err != nil || again != s {
			t.Errorf("%+v, again %+v, %v", s, again, err)
		}
	})
}
