package soak_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform/platformtest"
)

// working is a replica that works for the time that a request's path says.
func working(x *platformtest.Exchange) {
	x.Run()
	work, _ := strconv.Atoi(x.Request.URL.Path[strings.LastIndex(x.Request.URL.Path, "/")+1:])
	time.Sleep(time.Duration(work) * time.Millisecond)
	event := platformtest.Event(1, "token")
	x.Head(http.StatusOK, len(event), platformtest.Seal, "Content-Type: text/event-stream")
	x.Write(event)
}

// startWorking starts a store with replicas that work, and returns those.
func startWorking(t *testing.T, count int) (graniteknot.Address, []*platformtest.Replica) {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	var replicas []*platformtest.Replica
	for i := range count {
		r, err := platformtest.NewReplica(fmt.Sprint("i-", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		r.Always(working)
		replicas = append(replicas, r)
		store.Records.Put(graniteknot.TopicReplicas, r.ID, platformtest.Record("s", r.Address(), false))
	}
	store.Records.Put(graniteknot.TopicSettings, "config", platformtest.Config(1, "h.example", "s", []string{"k1"}))
	return store.Address(), replicas
}

// newWorking starts a replica that works and registers it.
func newWorking(t *testing.T, store *platformtest.Store, id string) *platformtest.Replica {
	t.Helper()
	r, err := platformtest.NewReplica(id)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.Always(working)
	store.Records.Put(graniteknot.TopicReplicas, id, platformtest.Record("s", r.Address(), false))
	return r
}
