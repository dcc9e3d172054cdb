package gateway_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// sizesToPlay returns the numbers of gateways to measure with, as GRANITEKNOT_GATEWAYS lists them.
func sizesToPlay(t *testing.T) []int {
	t.Helper()
	words := os.Getenv("GRANITEKNOT_GATEWAYS")
	if words == "" {
		return []int{9, 45}
	}
	var out []int
	for _, w := range strings.Split(words, ",") {
		n, err := strconv.Atoi(w)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, n)
	}
	return out
}

// TestLagsWithACalmStore writes versions now and then, at moments of their own, and measures when
// they are in force, how often the store is called and how many bytes gateways tell each other.
func TestLagsWithACalmStore(t *testing.T) {
	notUnderRace(t)
	const medianAim, mostAim = 600 * time.Millisecond, 1200 * time.Millisecond
	for _, n := range sizesToPlay(t) {
		for _, routes := range []int{0, 1400} {
			t.Run(strconv.Itoa(n)+" gateways, "+strconv.Itoa(routes)+" routes more", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newVirtualFleet(t, n, nil)
					defer f.stop()
					f.routes = routes
					time.Sleep(4 * time.Second)
					f.write("warm")
					time.Sleep(4 * time.Second)
					l := watchLags(f)
					calls, carried, began := f.calls(), f.net.Carried(), time.Now()
					const versions = 8
					for i := range versions {
						f.write("k" + strconv.Itoa(i))
						l.written = append(l.written, time.Now())
						l.pass(2900*time.Millisecond + time.Duration(i)*170*time.Millisecond)
					}
					took := time.Since(began).Seconds()
					t.Logf("median %v, 99 in 100 %v, most %v; %.1f calls a second, %.2f KB a second into each", l.quantile(0.5), l.quantile(0.99), l.quantile(1),
						float64(f.calls()-calls)/took, float64(f.net.Carried()-carried)/took/float64(n)/1000)
					if l.quantile(0.5) > medianAim || l.quantile(1) > mostAim {
						t.Errorf("median %v, most %v; %v and %v may be", l.quantile(0.5), l.quantile(1), medianAim, mostAim)
					}
				})
			})
		}
	}
}
