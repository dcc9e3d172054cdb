package graniteknot

import (
	"context"
	"net/http"
)

// Work is one unit handed to a target.
type Work struct {
	Request RequestID
	Service Service
	// Priority is passed on to targets that honour it.
	Priority Priority
	// Body is the caller's request body, unchanged.
	Body []byte
	// ResumeAfter is the number of tokens that the caller already has. It is
	// zero for plain services.
	ResumeAfter Tokens
	// Method, Path and Header are set for plain services only.
	Method string
	Path   string
	Header http.Header
}

// Piece is one part of a target's answer.
type Piece struct {
	// Status and Header are set on the first piece of a plain service's
	// answer, and zero elsewhere.
	Status int
	Header http.Header
	// Data is one token of a model's answer, or some bytes of a plain one.
	Data []byte
}

// Emit receives the pieces of an answer in order. An error stops the work.
type Emit func(Piece) error

// Target is a model engine or a plain service, as its agent sees it.
type Target interface {
	// Run hands the work over and emits the answer. It returns nil only when
	// the end of the answer was seen. An error that wraps ErrNotHandedOver
	// proves that the target never got the work.
	Run(ctx context.Context, work Work, emit Emit) error
	// Load returns the target's own, lagging report.
	Load(ctx context.Context) (TargetLoad, error)
}

// TargetLoad is a target's lagging report of what it is doing.
type TargetLoad struct {
	// Running counts requests in the batch, Waiting those before it.
	Running, Waiting int
	// Slots is the size of the batch.
	Slots int
	// Prefixes are hashes of prompt prefixes in the cache, newest first.
	Prefixes []uint64
}

type notHandedOver struct{}

func (notHandedOver) Error() string { return "not handed over" }

// ErrNotHandedOver marks work that provably never reached the target.
var ErrNotHandedOver error = notHandedOver{}
