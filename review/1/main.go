//go:build review

// Command 1 shows that a gateway goes on sending requests to a replica that has left, after the
// store has given the gateway no answer for one second.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform/platformtest"
	"graniteknot.org/go/review/rig"
)

const (
	service  = "fio"
	gateways = 3
	rounds   = 9
	// perSecond is the rate of the requests at each gateway.
	perSecond = 8
	workTime  = 60 * time.Millisecond
	// silence is for how long the store gives one gateway no answer.
	silence = time.Second
	// vanishAfter is how long after the end of that a replica's entry disappears.
	vanishAfter = 1100 * time.Millisecond
	// serveOn is how long a replica serves on after its entry has disappeared: drain_timeout_ms and a
	// little longer.
	serveOn = rig.DrainTimeout + 900*time.Millisecond
	// tolerance is added to the bound for the way of a request on a busy machine.
	tolerance = 100 * time.Millisecond
)

type sent struct {
	gateway int
	at      time.Time
	answer  rig.Answer
}

type leave struct {
	replica *platformtest.Replica
	acked   time.Time
	// blipped is the gateway that had no answer from the store, until calm.
	blipped int
	calm    time.Time
}

func main() {
	rig.EndWithSignals()
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run() (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := rig.NewRecord(filepath.Join("review", "1", "record.txt"))
	if err != nil {
		return 2, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()

	config, err := siteConfig()
	if err != nil {
		return 2, err
	}
	store := platformtest.NewStore()
	defer store.Close()
	store.Records.Put(graniteknot.TopicSettings, "config", config)
	replicas := &rig.Replicas{Store: store, Service: service}
	work := func(x *platformtest.Exchange) {
		x.Run()
		time.Sleep(workTime)
		body := "answer to " + platformtest.RequestID(x.Request)
		x.Head(http.StatusOK, len(body), platformtest.Seal)
		x.Write(body)
	}
	var live []*platformtest.Replica
	for _, zone := range rig.Zones {
		x, err := replicas.Add(zone, work)
		if err != nil {
			return 2, err
		}
		live = append(live, x)
	}
	go replicas.Beat(ctx)

	var ways []*rig.Way
	var all []*rig.Gateway
	defer func() {
		for _, g := range all {
			g.Stop()
		}
	}()
	for i := range gateways {
		way, err := rig.NewWay(string(store.Address()))
		if err != nil {
			return 2, err
		}
		g, err := rig.StartGateway(dir, fmt.Sprintf("edge-%s-1", rig.Zones[i]), rig.Zones[i], way.Address())
		if err != nil {
			return 2, err
		}
		ways, all = append(ways, way), append(all, g)
	}
	starting, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	for _, g := range all {
		if err := g.AwaitReady(starting); err != nil {
			return 2, err
		}
	}
	record.Line("%d gateways are ready; trouble: %v", gateways, trouble)

	// Clients send requests that may run at most once.
	var mu sync.Mutex
	requests := map[string]*sent{}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var wait sync.WaitGroup
	for i, g := range all {
		client := rig.NewClient()
		wait.Add(1)
		go func() {
			defer wait.Done()
			ticker := time.NewTicker(time.Second / perSecond)
			defer ticker.Stop()
			for {
				select {
				case <-clients.Done():
					return
				case <-ticker.C:
				}
				wait.Add(1)
				go func() {
					defer wait.Done()
					id := rig.NewID()
					s := &sent{gateway: i, at: time.Now()}
					mu.Lock()
					requests[id] = s
					mu.Unlock()
					answer := client.Post(ctx, g.Frontend, "/once/"+id, id, "item "+id)
					mu.Lock()
					s.answer = answer
					mu.Unlock()
					record.Line("request %s, sent at %s to %s: status %d", id, record.At(s.at), g.Name, answer.Status)
				}()
			}
		}()
	}
	time.Sleep(4 * time.Second)

	var leaves []*leave
	for n := range rounds {
		blipped := n % gateways
		if trouble {
			record.Line("the store gives %s no answer for %v", all[blipped].Name, silence)
			ways[blipped].Silence(silence)
		} else {
			time.Sleep(silence)
		}
		l := &leave{replica: live[0], blipped: blipped, calm: time.Now()}
		fresh, err := replicas.Add(rig.Zones[n%len(rig.Zones)], work)
		if err != nil {
			return 2, err
		}
		live = append(live[1:], fresh)
		time.Sleep(vanishAfter)
		l.acked = replicas.Vanish(l.replica)
		record.Line("the entry of replica %s disappears; it serves on for %v", l.replica.ID, serveOn)
		leaves = append(leaves, l)
		time.Sleep(serveOn)
		l.replica.Close()
		record.Line("replica %s ends", l.replica.ID)
		time.Sleep(4500 * time.Millisecond)
	}
	stopClients()
	wait.Wait()
	return judge(record, requests, leaves, all), nil
}

// siteConfig returns a configuration with the figures that the site gives its class entrega, whose
// requests may run at most once.
func siteConfig() ([]byte, error) {
	var config map[string]any
	if err := json.Unmarshal(platformtest.Config(1, rig.Host, service, []string{rig.Key}), &config); err != nil {
		return nil, err
	}
	routes, ok := config["routes"].([]any)
	if !ok {
		return nil, errors.New("no routes")
	}
	for _, r := range routes {
		if route, ok := r.(map[string]any); ok && route["name"] == "once" {
			route["timeout_ms"], route["max_attempts"], route["target_latency_ms"] = 2000, 1, 300
		}
	}
	return json.Marshal(config)
}

// judge counts the requests that reached a replica too late, as the rule DRAIN says, and those that
// ran at one and got no answer.
func judge(record *rig.Record, requests map[string]*sent, leaves []*leave, all []*rig.Gateway) int {
	late, lost, served := 0, 0, 0
	for _, s := range requests {
		if s.answer.Status == http.StatusOK {
			served++
		}
	}
	if 2*served < len(requests) {
		record.Line("%d of %d requests were served: the case could not run", served, len(requests))
		return 2
	}
	for _, l := range leaves {
		for _, run := range l.replica.Runs() {
			id := platformtest.RequestID(run.Request)
			s := requests[id]
			if s == nil {
				continue
			}
			after := run.At.Sub(l.acked)
			inTouch := s.gateway != l.blipped || run.At.Sub(l.calm) > rig.Contact
			if after <= rig.DrainTimeout+tolerance || !inTouch {
				continue
			}
			late++
			outcome := fmt.Sprintf("status %d", s.answer.Status)
			if s.answer.Status != http.StatusOK {
				lost++
				outcome += ", though it ran"
			}
			record.Line("DRAIN: request %s, sent at %s to %s, in touch, reached replica %s %d ms after its entry had gone (bound %d ms): %s",
				id, record.At(s.at), all[s.gateway].Name, l.replica.ID, after.Milliseconds(), rig.DrainTimeout.Milliseconds(), outcome)
		}
	}
	record.Line("%d requests, %d replicas left, %d requests reached one late, %d of these ran without an answer", len(requests), len(leaves), late, lost)
	fmt.Printf("%d requests reached a replica that had left, %d of them ran without an answer\n", late, lost)
	if late > 0 {
		return 1
	}
	return 0
}
