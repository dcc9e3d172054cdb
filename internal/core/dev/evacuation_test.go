package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/dev"
	"graniteknot.org/go/settings"
)

// TestEvacuatedZoneGetsNoNewWork has a partner evacuate a zone, and take it back, while calls
// flow: none fails, and none reaches an agent of the zone meanwhile.
func TestEvacuatedZoneGetsNoNewWork(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, dev.Options{})
	partner := c.Partners[0]
	zone := partner.Zones[0]
	url := "http://" + string(partner.Entries[0].Config.Listen) + "/v1/completions"
	call := func(n int) {
		for i := range n {
			get(t, http.DefaultClient, url, partner.Keys[0], fmt.Appendf(nil, `{"model":"label-reading","prompt":"sheet %d","max_tokens":2}`, i))
		}
	}
	started := func() (n int64) {
		for _, p := range c.Model {
			var vars struct {
				Claims struct{ Started int64 } `json:"claims"`
			}
			if p.Config.Zone == zone {
				readVars(t, p.Config.Listen, &vars)
				n += vars.Claims.Started
			}
		}
		return n
	}
	// inForce publishes the zone's section, and waits until the entry's table has it too.
	inForce := func(value string) {
		answer, err := c.Publish(ctx, partner, settings.Branch(partner.Name), fmt.Sprintf("[zone %s]\nevacuated = %s\n", zone, value))
		if err == nil {
			err = c.AwaitForce(ctx, answer.Offset)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	call(60)
	if started() == 0 {
		t.Fatal("the zone gets nothing before it is evacuated")
	}
	inForce("yes")
	for deadline := time.Now().Add(10 * time.Second); ; {
		before := started()
		call(40)
		if started() == before {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("an evacuated zone still gets work")
		}
	}
	inForce("no")
	for deadline := time.Now().Add(10 * time.Second); ; {
		before := started()
		call(40)
		if started() > before {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("a zone that was taken back gets no work")
		}
	}
}
