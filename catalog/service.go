package catalog

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// Service is a set of equivalent replicas that routes refer to.
type Service struct {
	Name graniteknot.Service
	// MaxConnections bounds the open connections to one replica over all processes; 0 is no bound.
	MaxConnections int
	// WarmupRate is how many requests a second a cold replica accepts from all processes together;
	// 0 is no bound.
	WarmupRate float64
	// Engine is set for services whose replicas are model engines.
	Engine *Engine
	// Coordinated reports whether gateways coordinate the admission of requests, because callers
	// with different needs compete for the engines. NewTree sets it.
	Coordinated bool
}

// Engine is the stated speed and size of a model engine.
type Engine struct {
	// Slots is how many requests run in one batch.
	Slots int
	// Memory is how many tokens of context the engine holds.
	Memory graniteknot.Tokens
	// Stride is how many steps a pass has in which streams decode.
	Stride int
	// Step is the duration of a step. PerWriter is added for each request that decodes, and
	// PerContext for each thousand tokens of their contexts.
	Step, PerWriter, PerContext time.Duration
	// ReadRate is how many prompt tokens are prefilled in a second.
	ReadRate float64
	// Chunk is how many prompt tokens are prefilled in a step at most.
	Chunk int
	// Usual is the mean request.
	Usual Size
	// Experts describes the expert maps; nil if the service has none.
	Experts *Experts
}

// Bare returns the duration of a decoding pass without what each request adds.
func (e *Engine) Bare() time.Duration { return time.Duration(max(e.Stride, 1)) * e.Step }

// Writing returns what a decoding request adds to a pass if the load is even.
func (e *Engine) Writing() time.Duration { return time.Duration(max(e.Stride, 1)) * e.PerWriter }

// Reading returns the time to prefill a prompt if the load is even.
func (e *Engine) Reading(prompt graniteknot.Tokens) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(prompt) / e.ReadRate * float64(time.Second))
}

// Passes returns how many passes a usual response takes; at least 1.
func (e *Engine) Passes() int { return max(1, int(e.Usual.Answer)/max(e.Stride, 1)) }

// Size is the size of a request to an engine.
type Size struct {
	// Prompt is the length of the prompt, Answer the greatest length of the response.
	Prompt, Answer graniteknot.Tokens
}

// Experts is the shape of a service's expert maps.
type Experts struct {
	// Sets is how many sets of layers have experts of their own.
	Sets int
	// Experts is how many each set has.
	Experts int
	// Places is how many experts of a set a rank holds.
	Places int
	// Spare is how many more experts of a set a rank can load.
	Spare int
	// Fraction is the part of a token's work that experts do, from 0 to 1.
	Fraction float64
	// Size is the size of an expert of one set.
	Size graniteknot.Bytes
	// Bandwidth is that of loading experts, in bytes a second; 0 is unknown.
	Bandwidth float64
	// Form is how long a broken group takes to form again.
	Form time.Duration
}
