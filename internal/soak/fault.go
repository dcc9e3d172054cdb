package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"graniteknot.org/go/internal/standin/keyed"
)

// fault is a failure or an operator's action.
type fault struct {
	at    time.Duration
	name  string
	begin func()
	// end reverts the fault after its duration; nil if nothing has to be reverted.
	end      func()
	duration time.Duration
}

// maxFaultDuration bounds how long a fault lasts; several may overlap.
const maxFaultDuration = 7 * time.Second

// schedule draws the faults of a run from its seed.
func schedule(random *rand.Rand, count int, span time.Duration, w *world, gateways []*process) []fault {
	var out []fault
	for range count {
		f := draw(random, w, gateways)
		f.at = time.Duration(random.Int64N(int64(span)))
		out = append(out, f)
	}
	return out
}

const (
	// partialOutages is how often in a run the store rejects some of the gateways, and
	// minPartialOutage and maxPartialOutage bound how long.
	partialOutages   = 3
	minPartialOutage = 5 * time.Second
	maxPartialOutage = 8 * time.Second
	// partialOutageStream is the random stream for these.
	partialOutageStream = seriesStream + 100
)

// drawPartialOutages draws faults in which the store responds only to some gateways.
func drawPartialOutages(random *rand.Rand, span time.Duration, gateways []*process) []fault {
	var out []fault
	for range partialOutages {
		duration := minPartialOutage + time.Duration(random.Int64N(int64(maxPartialOutage-minPartialOutage)))
		mode := proxyMode(1 + random.IntN(2))
		some := random.Perm(len(gateways))[:1+random.IntN(len(gateways)-1)]
		out = append(out, fault{
			at: time.Duration(random.Int64N(int64(span))), duration: duration, name: fmt.Sprint("store turns away ", some, " ", mode),
			begin: func() {
				for _, i := range some {
					gateways[i].noteStoreLoss(duration)
					gateways[i].proxy.set(mode)
				}
			},
			end: func() {
				for _, i := range some {
					gateways[i].proxy.set(proxyPass)
				}
			},
		})
	}
	return out
}

// draw draws a fault.
func draw(random *rand.Rand, w *world, gateways []*process) fault {
	i := random.IntN(len(gateways))
	g := gateways[i]
	duration := time.Second + time.Duration(random.Int64N(int64(maxFaultDuration-time.Second)))
	on := func(what string) string { return fmt.Sprintf("%s gateway %d", what, i) }
	switch random.IntN(13) {
	case 0:
		return fault{name: on("kill"), begin: func() { g.signal(syscall.SIGKILL, startTime) }}
	case 1:
		return fault{name: on("stop"), begin: func() { g.signal(syscall.SIGTERM, 0) }}
	case 2, 3:
		return fault{
			name: on("freeze"), begin: func() { g.signal(syscall.SIGSTOP, duration+startTime) },
			end: func() { g.signal(syscall.SIGCONT, 0) }, duration: duration,
		}
	case 4:
		n := random.IntN(100)
		return fault{name: on("reload"), begin: func() {
			if g.write(n) == nil {
				g.signal(syscall.SIGHUP, 0)
			}
		}}
	case 5, 6:
		return storeFault(random, w, gateways, duration)
	case 7, 8:
		mode := proxyMode(1 + random.IntN(3))
		return fault{name: on(fmt.Sprint("way to the store ", mode, " of")), begin: func() {
			g.noteStoreLoss(duration)
			g.proxy.set(mode)
		}, end: func() { g.proxy.set(proxyPass) }, duration: duration}
	case 9, 10:
		return fault{name: "revoke a key", begin: w.revoke}
	case 11:
		return fault{name: "replace a replica", begin: func() {
			// If no port is free, the run continues with the current replicas.
			_ = w.replace()
		}}
	default:
		n := random.IntN(1 << 20)
		return fault{
			name: "failing replica", begin: func() {
				s := w.replica(n)
				s.Always(s.failEveryThird())
			},
			end: func() { w.restoreReplicas() }, duration: duration,
		}
	}
}

func storeFault(random *rand.Rand, w *world, gateways []*process, duration time.Duration) fault {
	kind := []keyed.Fault{keyed.FaultSilent, keyed.FaultRefuse, keyed.FaultLose}[random.IntN(3)]
	return fault{
		name: fmt.Sprint("store ", kind), begin: func() {
			for _, g := range gateways {
				g.noteStoreLoss(duration)
			}
			w.store.Records.Set(kind)
		},
		end: func() { w.store.Records.Set(keyed.FaultNone) }, duration: duration,
	}
}
