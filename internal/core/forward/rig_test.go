package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/platform"
	"graniteknot.org/go/platform/platformtest"
)

// long is more than any of these tests takes.
const long = 20 * time.Second

// sink keeps what a caller gets.
type sink struct {
	status int
	header http.Header
	body   strings.Builder
	begun  bool
	// gone makes every write fail.
	gone bool
}

var errGone = errors.New("gone")

func (s *sink) WriteResponse(status int, h http.Header, body []byte) error {
	if s.gone {
		return errGone
	}
	s.status, s.header = status, h
	s.body.Write(body)
	return nil
}

func (s *sink) BeginStream(status int, h http.Header) error {
	if s.gone {
		return errGone
	}
	s.begun, s.status, s.header = true, status, h
	return nil
}

func (s *sink) WriteEvents(b []byte) error {
	s.body.Write(b)
	return nil
}

// rig is a forwarder before scripted replicas, of which the first is preferred.
type rig struct {
	forward  *forward.Forwarder
	replicas []*platformtest.Replica
	route    *catalog.Route
	sink     *sink
	request  *forward.Request
}

func newRig(t *testing.T, kind catalog.RouteKind, scripts ...platformtest.Script) *rig {
	t.Helper()
	r := &rig{
		sink: &sink{},
		route: &catalog.Route{
			Name: "r", Kind: kind, Resumable: kind == catalog.KindStream, Attempts: 2, Aim: time.Second,
			Shares: []catalog.Share{{Service: "s", Weight: 1}},
		},
	}
	table := &fleet.Table{}
	for i, script := range scripts {
		replica, err := platformtest.NewReplica(fmt.Sprintf("i-%d", i), script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(replica.Close)
		r.replicas = append(r.replicas, replica)
		// The zone of the first is the forwarder's own.
		zone := graniteknot.AvailabilityZone(fmt.Sprint("z", i))
		table.Put(catalog.Replica{ID: catalog.ReplicaID(replica.ID), Service: "s", Address: replica.Address(), Zone: zone}, time.Now())
	}
	pool := &conns.Pool{}
	t.Cleanup(pool.Close)
	r.forward = &forward.Forwarder{
		Codec: platform.Dialect{}, Pool: pool, Fleet: table, Zone: "z0", ConfigFresh: func() bool { return true },
		ConnLimit:    func(*catalog.Service) int { return 0 },
		RetryBudgets: &forward.RetryBudgets{Percent: func() int64 { return 100 }, Burst: func() float64 { return 20 }},
	}
	r.request = &forward.Request{
		ID: "a1", Method: http.MethodPost, RequestURI: "/p/x?q=1", Host: "h", Path: "/p/x", Header: http.Header{"X-Own": {"v"}},
		Body: []byte("question"), ReceivedAt: time.Now(),
	}
	return r
}

func (r *rig) do(ctx context.Context) forward.Result {
	job := &forward.RoutedRequest{
		Request: r.request, Route: r.route, Service: &catalog.Service{Name: "s"},
		Account: &catalog.Account{Name: "desk"}, RespondBy: time.Now().Add(long),
	}
	return r.forward.Do(ctx, job, r.sink)
}

func (r *rig) ran() int {
	n := 0
	for _, x := range r.replicas {
		n += len(x.Ran())
	}
	return n
}
