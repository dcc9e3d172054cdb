package fleet_test

import (
	"context"
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// come has callers come at a rate from one time to another.
func (p *pool) come(perSecond float64, from, to time.Duration, returned bool) {
	random := rand.New(rand.NewPCG(7, uint64(from)))
	p.callers.Go(func() {
		time.Sleep(from)
		for at := from; at < to; {
			gateway := p.gateways[random.IntN(len(p.gateways))]
			prompt, length := 300+random.IntN(1140), 8+random.IntN(24)
			back := time.Duration((1.8 + 0.7*random.Float64()) * float64(time.Second))
			p.callers.Go(func() { p.call(gateway, prompt, length, back, returned) })
			pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			time.Sleep(pause)
			at += pause
		}
	})
}

// call plays one caller: a refused one comes back once.
func (p *pool) call(gateway *fleet.Table, prompt, length int, back time.Duration, returned bool) {
	first := time.Now()
	if returned {
		first = first.Add(-time.Second)
	}
	for {
		ok, inTime := p.try(gateway, prompt, length, first, returned)
		if ok || returned {
			p.count(ok, inTime)
			return
		}
		time.Sleep(back)
		returned = true
	}
}

func (p *pool) count(ok, inTime bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.asked++
	switch {
	case inTime:
		p.result.inTime++
	case ok:
		p.result.late++
	default:
		p.result.lost++
	}
}

// try plays one try of a caller, who leaves when no event comes for playedLeft.
func (p *pool) try(gateway *fleet.Table, prompt, length int, first time.Time, returned bool) (ok, inTime bool) {
	now := time.Now()
	ctx, leave := context.WithTimeout(p.ctx, playedLeft)
	defer leave()
	q := &fleet.Query{Service: playedEngine, MaxGap: playedGap, Now: now, RequestedAt: now, Size: catalog.Size{Prompt: graniteknot.Tokens(prompt)}}
	l := gateway.Acquire(ctx, q, fleet.WaitBounds{FirstEventBy: first.Add(playedAim - 25*time.Millisecond), GiveUpAt: now.Add(3 * playedAim)})
	if l == nil {
		if time.Since(now) > 50*time.Millisecond {
			p.mu.Lock()
			p.result.held++
			p.mu.Unlock()
		}
		return false, false
	}
	defer func() { l.End(fleet.VerdictGood, time.Now()) }()
	now = time.Now()
	stream := &playedStream{unread: prompt, left: length, events: make(chan time.Time, length)}
	r := p.rank(l.Replica.ID)
	r.add(stream)
	last := now
	waited, firstLate := now.Sub(first), false
	inTime = true
	for n := range length {
		select {
		case at := <-stream.events:
			l.RecordResponse(at)
			if n == 0 && at.Sub(first) > playedAim {
				inTime, firstLate = false, true
			}
			if n > 0 && at.Sub(last) > playedGap {
				inTime = false
			}
			last = at
		case <-time.After(time.Until(last.Add(playedLeft))):
			r.leave(stream)
			return false, false
		}
	}
	if !inTime && !returned {
		p.late(waited, firstLate)
	}
	return true, inTime
}

// late counts why an answer to a first try was late.
func (p *pool) late(waited time.Duration, firstLate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !firstLate:
		p.result.byPause++
	case waited > playedAim-200*time.Millisecond:
		p.result.byWait++
	default:
		p.result.byFirst++
	}
}
