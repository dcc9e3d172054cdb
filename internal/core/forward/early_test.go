package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/platform/platformtest"
)

// earlyKinds are the kinds of routes, and the response that is sent on each.
var earlyKinds = map[string]struct {
	kind catalog.RouteKind
	head []string
	body string
}{
	"once":       {kind: catalog.KindOnce, body: "the first half of a response"},
	"repeatable": {kind: catalog.KindRepeatable, body: "the first half of a response"},
	"stream":     {kind: catalog.KindStream, head: []string{"Content-Type: text/event-stream"}, body: platformtest.Event(1, "token")},
}

// doEarly forwards a request with a large body to a replica that responds before it has read that.
func doEarly(t *testing.T, size int, kind catalog.RouteKind, unreadLimit time.Duration, response platformtest.EarlyResponse) (*fixture, graniteknot.Outcome) {
	t.Helper()
	r := newFixture(t, kind, response.Script)
	r.route.Resumable = false
	r.replicas[0].BeforeBodies()
	r.replicas[0].Always(response.Script)
	r.forwarder.Pool.UnreadLimit = unreadLimit
	r.request.Body = bytes.Repeat([]byte("x"), size)
	return r, r.do(context.Background()).Outcome
}

// TestEarlyResponseThatIsResetIsNotComplete guards against a part of a response that passes for a whole one: its replica resets the connection while the request's body is still being sent.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	const plays = 5
	for name, k := range earlyKinds {
		for _, size := range []int{64 << 10, 1 << 20, 8 << 20} {
			for _, read := range []int64{0, 48 << 10} {
				for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
					for _, unreadLimit := range []time.Duration{0, 2 * time.Second} {
						t.Run(fmt.Sprint(name, size, read, pause, unreadLimit), func(t *testing.T) {
							t.Parallel()
							for range plays {
								r, outcome := doEarly(t, size, k.kind, unreadLimit, platformtest.EarlyResponse{Head: k.head, Body: k.body, Read: read, Pause: pause})
								if outcome == graniteknot.OutcomeAnswered {
									t.Errorf("complete with status %d and %q", r.sink.status, r.sink.body.String())
								}
							}
						})
					}
				}
			}
		}
	}
}

// TestEarlyResponseOfALostReplicaIsNotComplete guards against the same where the system gives the connection up, since the replica reads nothing more of the request.
func TestEarlyResponseOfALostReplicaIsNotComplete(t *testing.T) {
	for name, k := range earlyKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, outcome := doEarly(t, 8<<20, k.kind, 0, platformtest.EarlyResponse{Head: k.head, Body: k.body, End: platformtest.EarlySilent})
			if outcome == graniteknot.OutcomeAnswered {
				t.Errorf("complete with status %d and %q", r.sink.status, r.sink.body.String())
			}
		})
	}
}

// TestEarlyResponseThatEndsInOrderIsComplete guards against sound early responses that are taken for broken ones.
func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	ends := map[string]platformtest.EarlyEnd{"half-closed": platformtest.EarlyHalfClosed, "read whole": platformtest.EarlyReadWhole}
	for name, k := range earlyKinds {
		for endName, end := range ends {
			for _, size := range []int{64 << 10, 8 << 20} {
				for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
					t.Run(fmt.Sprint(name, endName, size, pause), func(t *testing.T) {
						t.Parallel()
						r, outcome := doEarly(t, size, k.kind, 2*time.Second, platformtest.EarlyResponse{Head: k.head, Body: k.body, Pause: pause, End: end})
						if got := r.sink.body.String(); outcome != graniteknot.OutcomeAnswered || got != k.body {
							t.Errorf("%v with %q", outcome, got)
						}
					})
				}
			}
		}
	}
}
