package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

const (
	// gatewayMemory is the memory of a gateway's machine in its settings.
	gatewayMemory = 284 << 20
	// endlessReplicas is how often in a run a replica sends without end, and maxEndless for how long.
	endlessReplicas = 6
	maxEndless      = 3 * time.Second
	// endlessStream is the random stream for these.
	endlessStream = coldStream + 100
	// memoryPoll is the interval at which the gateways' memory is read.
	memoryPoll = 50 * time.Millisecond
)

// endlessStarts are how responses without end begin: in a head, in a body, or with no response at all.
var endlessStarts = []platformtest.Endless{
	{},
	{Start: func(x *platformtest.Exchange) { x.Write("HTTP/1.1 200 O") }},
	{Start: func(x *platformtest.Exchange) { x.Write("HTTP/1.1 200 OK\r\nX-A: ") }},
	{Start: func(x *platformtest.Exchange) { x.Head(http.StatusOK, -1, platformtest.Seal) }},
	{Start: (*platformtest.Exchange).RefusalHead, Refuses: true},
	{Start: (*platformtest.Exchange).StaleHead},
}

// endlessBody is the place of a body in endlessStarts.
const endlessBody = 3

// noteEndlessBody records that a replica sends bodies without end for at most maxEndless.
func (w *world) noteEndlessBody(s *replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.endlessBodies = append(s.endlessBodies, time.Now())
}

// sentEndlessBody reports whether a run may have got a body without end, which is passed on until it breaks off
// once a gateway's memory for bodies is used up.
func sentEndlessBody(r run) bool {
	return slices.ContainsFunc(r.at.endlessBodies, func(began time.Time) bool {
		return !r.arrived.Before(began) && r.arrived.Before(began.Add(maxEndless))
	})
}

// drawEndless draws faults in which a replica sends bytes that are no response until its caller closes.
func drawEndless(random *rand.Rand, span time.Duration, w *world) []fault {
	var out []fault
	for range endlessReplicas {
		n, place := random.IntN(1<<20), random.IntN(len(endlessStarts))
		repeat := strings.Repeat("x", 32<<10)
		out = append(out, fault{
			at: time.Duration(random.Int64N(int64(span))), duration: time.Duration(random.Int64N(int64(maxEndless))),
			name: fmt.Sprint("replica that sends without end, place ", place),
			begin: func() {
				from := &endlessStarts[place]
				endless := &platformtest.Endless{Start: from.Start, Refuses: from.Refuses, Repeat: repeat}
				s := w.replica(n)
				if place == endlessBody {
					w.noteEndlessBody(s)
				}
				s.Always(endless.Script)
			},
			end: w.restoreReplicas,
		})
	}
	return out
}

// watchMemory returns a finding for each gateway that used more memory than its machine has, once ctx is done.
func watchMemory(ctx context.Context, gateways []*process) []Finding {
	peak := make([]int64, len(gateways))
	for ctx.Err() == nil {
		for i, g := range gateways {
			peak[i] = max(peak[i], g.resident())
		}
		wait(ctx, memoryPoll)
	}
	var out []Finding
	for i, g := range gateways {
		if peak[i] > gatewayMemory {
			out = append(out, Finding{"a gateway stays within its memory", string(g.box), fmt.Sprintf("%d bytes, %d are there", peak[i], gatewayMemory)})
		}
	}
	return out
}

// resident returns the memory that the process uses; 0 if it does not run.
func (p *process) resident() int64 {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil || command.Process == nil {
		return 0
	}
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
