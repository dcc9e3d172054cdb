package quota

import (
	"math"
	"time"
)

const (
	// mostHeld is how many permits a process holds of one limit.
	mostHeld = 256
	// answerTime is how long an answer of the home is waited for.
	answerTime = 300 * time.Millisecond
	// answered is how soon the home mostly answers, and with it how soon a process that has
	// just asked may have permits.
	answered = 30 * time.Millisecond
	// wantSpan is how far back requests count for how many permits can be used.
	wantSpan = time.Second
)

// Part is what one process holds of a limit. The zero value is without a limit. It is not
// safe for use by several goroutines.
type Part struct {
	limited bool
	rate    Rate
	held    []permit
	// number is that of the last ask, asked when it was sent; zero where it was answered.
	number uint64
	asked  time.Time
	// silent counts the asks in a row without an answer.
	silent int
	// again is when to ask again, askers how many processes did.
	again  time.Time
	askers int
	// wanted is the faded number of requests that could have used a permit, as of wantedAt.
	wanted   float64
	wantedAt time.Time
}

// permit is for one request within a span.
type permit struct{ from, until time.Time }

// Limited tells whether there is a limit.
func (p *Part) Limited() bool { return p.limited }

// Rate returns the limit.
func (p *Part) Rate() Rate { return p.rate }

// Held counts the permits that are or will be valid.
func (p *Part) Held() int { return len(p.held) }

// Askers returns how many processes ask for parts of the limit, this one included.
func (p *Part) Askers() int { return max(1, p.askers) }

// Limit sets the limit. Permits of a higher one are void.
func (p *Part) Limit(rate Rate) {
	if p.limited && rate < p.rate {
		p.held = nil
	}
	if p.limited && rate > p.rate {
		p.again = time.Time{}
	}
	p.limited, p.rate = true, rate
}

// Lift ends the limit.
func (p *Part) Lift() {
	*p = Part{number: p.number}
}

// Ready tells whether a permit is valid now.
func (p *Part) Ready(now time.Time) bool {
	p.prune(now)
	return len(p.held) > 0 && !p.held[0].from.After(now)
}

// Take uses a permit.
func (p *Part) Take(now time.Time) bool {
	if !p.Ready(now) {
		return false
	}
	p.held = p.held[1:]
	return true
}

// Want notes a request that could have used a permit.
func (p *Part) Want(now time.Time) {
	p.wanted, p.wantedAt = p.faded(now)+1, now
}

func (p *Part) faded(now time.Time) float64 {
	if p.wantedAt.IsZero() {
		return 0
	}
	return p.wanted * math.Exp(-now.Sub(p.wantedAt).Seconds()/wantSpan.Seconds())
}

// Due returns how many permits to ask for now; 0 for none.
func (p *Part) Due(now time.Time) int {
	wanted := p.faded(now)
	if !p.limited || now.Before(p.again) || p.waits(now) || wanted < 0.5 {
		return 0
	}
	p.prune(now)
	need := math.Ceil(wanted / wantSpan.Seconds() * (p.rate.ahead() + answered).Seconds())
	return min(int(need), mostHeld) - len(p.held)
}

// waits tells whether an answer may still come.
func (p *Part) waits(now time.Time) bool { return !p.asked.IsZero() && now.Sub(p.asked) < answerTime }

// Asked notes an ask and returns its number, and how many before it had no answer.
func (p *Part) Asked(now time.Time) (number uint64, silent int) {
	if !p.asked.IsZero() {
		p.silent++
	}
	p.number++
	p.asked = now
	return p.number, p.silent
}

// Granted takes in an answer. Only the first one to the last ask counts, and only while it is
// waited for: permits of a message that comes twice or late would be more than were dealt.
func (p *Part) Granted(g *Grant, now time.Time) bool {
	if !p.limited || p.asked.IsZero() || g.Number != p.number || !p.waits(now) {
		return false
	}
	p.asked, p.silent, p.askers = time.Time{}, 0, g.Askers
	p.again = now.Add(milliseconds(g.Again))
	from := now.Add(milliseconds(g.From))
	for range min(g.Count, mostHeld-len(p.held)) {
		p.held = append(p.held, permit{from, from.Add(p.rate.valid())})
		from = from.Add(milliseconds(g.Every))
	}
	return true
}

// Next returns when this process may have a permit, as far as is known.
func (p *Part) Next(now time.Time) time.Time {
	p.prune(now)
	if len(p.held) > 0 {
		return latest(now, p.held[0].from)
	}
	if p.Answers(now) {
		return now.Add(answered)
	}
	return latest(now, p.again).Add(p.rate.ahead())
}

// Answers tells whether the home's answer to an ask may come any moment, which tells when
// there is a permit.
func (p *Part) Answers(now time.Time) bool {
	return p.waits(now) && p.silent == 0 && now.Sub(p.asked) < 2*answered
}

// By counts the permits that are valid, or will be by a time.
func (p *Part) By(by, now time.Time) int {
	p.prune(now)
	n := 0
	for _, x := range p.held {
		if !x.from.After(by) {
			n++
		}
	}
	return n
}

// PerSecond returns how many permits a second this process may expect.
func (p *Part) PerSecond() float64 {
	return float64(time.Second) / float64(p.rate.every()) / float64(p.Askers())
}

// prune drops the permits that have lapsed.
func (p *Part) prune(now time.Time) {
	n := 0
	for n < len(p.held) && !now.Before(p.held[n].until) {
		n++
	}
	p.held = p.held[n:]
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
