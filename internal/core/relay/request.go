package relay

import (
	"context"
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/ticket"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

// Request is one request of a caller, checked.
type Request struct {
	ID      graniteknot.RequestID
	Account *settings.AccountView
	Service *settings.ServiceView
	Body    []byte
	// Method, Path and Header are set for plain services.
	Method string
	Path   string
	Header http.Header
	// Key is empty when the caller gave none.
	Key graniteknot.Key
	// KeyTime is the time that the key itself carries; zero for none.
	KeyTime time.Time
	// Ticket is nil when the caller gave none.
	Ticket *ticket.Ticket
	// Try is counted by the caller, from 1.
	Try        uint32
	Repeatable bool
	Deadline   time.Time
	Priority   graniteknot.Priority
	// Cost is the estimated size in tokens.
	Cost graniteknot.Tokens
	// Prefixes are hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// PrefillTime is the estimated time to read the prompt without a cache.
	PrefillTime time.Duration
}

// plain tells whether the request is for a plain service.
func (r *Request) plain() bool { return r.Method != "" }

// Sink receives the answer's pieces in order and once. An error means that the
// caller is gone.
type Sink func(graniteknot.Piece) error

// Code says in one word why a request ended as it did.
type Code string

// The codes, as callers see them.
const (
	CodeNone            Code = ""
	CodeOverloaded      Code = "overloaded"
	CodeNoTarget        Code = "no_target"
	CodeUnreachable     Code = "unreachable"
	CodeBroken          Code = "broken"
	CodeDeadline        Code = "deadline"
	CodeAlreadyAnswered Code = "already_answered"
	CodeCallerGone      Code = "caller_gone"
	// CodeEndsTargets is for a request under which targets ended.
	CodeEndsTargets Code = "ends_targets"
	// CodeCancelled is for a caller that left, or an entry that stopped at the
	// bound of its planned stop.
	CodeCancelled Code = "cancelled"
)

// Result is how a request ended.
type Result struct {
	Outcome graniteknot.Outcome
	Code    Code
	Reason  string
}

// ChunkReader reads the chunks of one dispatch.
type ChunkReader interface {
	// Next blocks for the next chunk. io.EOF ends a stream whose last chunk
	// was read; any other error ends it early.
	Next() (*wire.Chunk, error)
	Close()
}

// AgentClient reaches the agents.
type AgentClient interface {
	// Dispatch sends an attempt. An error that wraps
	// graniteknot.ErrNotHandedOver proves that the agent never got it.
	Dispatch(ctx context.Context, a graniteknot.Address, d *wire.Dispatch) (ChunkReader, error)
	// Withdraw asks an authority to make sure that a request never starts.
	Withdraw(ctx context.Context, a graniteknot.Address, r *wire.WithdrawRequest) (*wire.WithdrawReply, error)
	// Report asks an agent for its load and its incarnation.
	Report(ctx context.Context, a graniteknot.Address) (*wire.Load, error)
}
