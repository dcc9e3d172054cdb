package graniteknot

import "context"

// OrderKind says what an order changes at a target.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad loads a version of the model, with its adapters.
	OrderLoad OrderKind = "load"
	// OrderRole changes what the target is used for.
	OrderRole OrderKind = "role"
)

// Fence orders the givers of orders and their orders. Targets that check
// fences refuse an order whose fence is lower than the highest they saw.
type Fence struct {
	// Incarnation is the agent's.
	Incarnation Incarnation `json:"incarnation"`
	// Sequence counts the agent's orders, from 1.
	Sequence uint64 `json:"sequence"`
}

// Less tells whether f is lower than o.
func (f Fence) Less(o Fence) bool {
	if f.Incarnation != o.Incarnation {
		return f.Incarnation < o.Incarnation
	}
	return f.Sequence < o.Sequence
}

// Order is a change to a target.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Name  string    `json:"name"`
	Fence Fence     `json:"fence"`
}

// OrderTaker takes orders; model engines do.
type OrderTaker interface {
	// Order returns once the order has taken effect. After an error it may
	// have, or may still.
	Order(ctx context.Context, o Order) error
}
