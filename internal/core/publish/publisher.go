// Package publish puts an operator's change into the log and finds out what
// became of it, also when the log's answer is lost or the publisher was
// started again. It never guesses: a change whose fate the log does not tell
// yet is not accepted yet.
package publish

import (
	"context"
	"crypto/ed25519"
	"time"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/core/spread"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

// retryPause is how long to wait before the log is asked again.
const retryPause = 200 * time.Millisecond

// Publisher publishes for one partner.
type Publisher struct {
	Log     graniteknot.Log
	Trust   *fold.TrustStore
	Partner graniteknot.Partner
	Key     ed25519.PrivateKey
	// Now is time.Now when nil.
	Now graniteknot.Clock
}

// Answer is what became of a change.
type Answer struct {
	Fate fold.Status
	// Offset is where it was decided; 0 when it was not yet.
	Offset graniteknot.Offset
	// Reason tells why it was refused, or what is missing.
	Reason string
}

// Current is the version to make changes of a branch against.
const Current graniteknot.Offset = -1

// Publish appends a change and follows the log until it is decided or ctx is
// done. A change whose id is in the log already is not appended again.
func (p *Publisher) Publish(ctx context.Context, c *wire.Change) (Answer, error) {
	f := p.follow(c.GetId())
	if err := f.read(ctx); err != nil {
		return Answer{Reason: "the log can't be read; nothing was appended"}, err
	}
	if v, ok := f.verdict(); ok {
		return answer(v), nil
	}
	if graniteknot.Offset(c.GetAgainst()) == Current {
		c.Against = int64(f.store.Version(settings.Branch(c.GetBranch())))
	}
	fold.Sign(c, p.Partner, p.Key)
	data, err := proto.Marshal(&wire.SettingsRecord{Body: &wire.SettingsRecord_Change{Change: c}})
	if err != nil {
		return Answer{}, err
	}
	_, lost := p.Log.Append(ctx, graniteknot.SettingsStream, data)
	return f.await(ctx, lost)
}

// follow makes a reader that watches for one id.
func (p *Publisher) follow(id string) *follower {
	f := &follower{store: spread.New(p.Trust), now: p.Now}
	if f.now == nil {
		f.now = time.Now
	}
	f.store.Watch = func(v fold.Verdict) {
		if v.ID == id && v.Signer == string(p.Partner) && f.found == nil {
			f.found = &v
		}
	}
	f.reader = spread.Reader{Log: p.Log, Store: f.store}
	return f
}

// follower reads the log for the fate of one change. It is used by one
// goroutine.
type follower struct {
	store  *spread.Store
	reader spread.Reader
	found  *fold.Verdict
	now    func() time.Time
}

func (f *follower) read(ctx context.Context) error { return f.reader.Read(ctx, f.now) }

func (f *follower) verdict() (fold.Verdict, bool) {
	if f.found == nil {
		return fold.Verdict{}, false
	}
	return *f.found, true
}

// await reads on until the change shows. When the append failed and the log
// does not have the change, it may still arrive: it is not accepted yet.
func (f *follower) await(ctx context.Context, lost error) (Answer, error) {
	for {
		err := f.read(ctx)
		if v, ok := f.verdict(); ok {
			return answer(v), nil
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if err == nil {
				err = lost
			}
			return Answer{Reason: "not accepted yet: ask again with the same id"}, err
		}
	}
}

func answer(v fold.Verdict) Answer {
	a := Answer{Fate: v.Status, Offset: v.Offset}
	if v.Err != nil {
		a.Reason = v.Err.Error()
	}
	if v.Status == fold.StatusPending {
		a.Reason = "waits for the other partner to publish the same text against the same version"
	}
	return a
}
