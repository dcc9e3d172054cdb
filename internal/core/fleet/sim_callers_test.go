package fleet_test

import (
	"context"
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// startCallers starts callers at a rate from one time to another.
func (p *simulation) startCallers(perSecond float64, from, to time.Duration, retry bool) {
	random := rand.New(rand.NewPCG(7, uint64(from)))
	p.callers.Go(func() {
		time.Sleep(from)
		for at := from; at < to; {
			gateway := p.gateways[random.IntN(len(p.gateways))]
			prompt, length := 300+random.IntN(1140), 8+random.IntN(24)
			retryDelay := time.Duration((1.8 + 0.7*random.Float64()) * float64(time.Second))
			p.callers.Go(func() { p.runCaller(gateway, prompt, length, retryDelay, retry) })
			pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			time.Sleep(pause)
			at += pause
		}
	})
}

// runCaller simulates a caller; a refused one retries once.
func (p *simulation) runCaller(gateway *fleet.Table, prompt, length int, retryDelay time.Duration, retry bool) {
	first := time.Now()
	if retry {
		first = first.Add(-time.Second)
	}
	for {
		ok, inTime := p.tryOnce(gateway, prompt, length, first, retry)
		if ok || retry {
			p.countResult(ok, inTime)
			return
		}
		time.Sleep(retryDelay)
		retry = true
	}
}

func (p *simulation) countResult(ok, inTime bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.callers++
	switch {
	case inTime:
		p.result.inTime++
	case ok:
		p.result.late++
	default:
		p.result.lost++
	}
}

// tryOnce simulates one try. The caller disconnects when no event comes for simPatience.
func (p *simulation) tryOnce(gateway *fleet.Table, prompt, length int, first time.Time, retry bool) (ok, inTime bool) {
	now := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, simPatience)
	defer cancel()
	q := &fleet.Query{Service: simService, MaxGap: simMaxGap, Now: now, RequestedAt: now, Size: catalog.Size{Prompt: graniteknot.Tokens(prompt)}}
	l := gateway.Acquire(ctx, q, fleet.WaitBounds{FirstEventBy: first.Add(simFirstEventTarget - 25*time.Millisecond), GiveUpAt: now.Add(3 * simFirstEventTarget)})
	if l == nil {
		if time.Since(now) > 50*time.Millisecond {
			p.mu.Lock()
			p.result.refusedLate++
			p.mu.Unlock()
		}
		return false, false
	}
	defer func() { l.End(fleet.VerdictGood, time.Now()) }()
	now = time.Now()
	stream := &simStream{unreadPrompt: prompt, eventsLeft: length, events: make(chan time.Time, length)}
	rank := p.rankOf(l.Replica.ID)
	rank.add(stream)
	last := now
	waited, firstLate := now.Sub(first), false
	inTime = true
	for n := range length {
		select {
		case at := <-stream.events:
			l.RecordResponse(at)
			if n == 0 && at.Sub(first) > simFirstEventTarget {
				inTime, firstLate = false, true
			}
			if n > 0 && at.Sub(last) > simMaxGap {
				inTime = false
			}
			last = at
		case <-time.After(time.Until(last.Add(simPatience))):
			rank.disconnect(stream)
			return false, false
		}
	}
	if !inTime && !retry {
		p.countLate(waited, firstLate)
	}
	return true, inTime
}

// countLate counts why the response to a first try was late.
func (p *simulation) countLate(waited time.Duration, firstLate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !firstLate:
		p.result.lateByPause++
	case waited > simFirstEventTarget-200*time.Millisecond:
		p.result.lateByQueue++
	default:
		p.result.lateByFirstEvent++
	}
}
