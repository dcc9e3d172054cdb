// Package ticket writes and reads the tickets that callers get with their
// addresses and put before their own part of an idempotency key. A ticket
// names the one authority for a request that may not be repeated: an agent,
// its incarnation, and when the ticket was issued. Because it is part of the
// key, all tries of one key have the same authority by construction.
//
// A ticket is no secret and proves nothing; keys are scoped to the account
// that sends them, so a forged ticket can only harm its forger.
package ticket

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
)

// ErrMalformed is returned for text that is no ticket.
var ErrMalformed = errors.New("ticket: malformed")

const (
	// mark begins a key that has a ticket; end stands behind the ticket.
	mark = "gk1-"
	end  = "."
)

// Ticket names the authority of a request.
type Ticket struct {
	Service     graniteknot.Service     `json:"s"`
	Address     graniteknot.Address     `json:"a"`
	Incarnation graniteknot.Incarnation `json:"i"`
	// Issued is in milliseconds since the epoch by the clock of the entry.
	Issued int64 `json:"t"`
}

// IssuedAt returns when the ticket was issued.
func (t Ticket) IssuedAt() time.Time { return time.UnixMilli(t.Issued) }

// Prefix writes the ticket as the beginning of a key.
func (t Ticket) Prefix() string {
	text, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return mark + base64.RawURLEncoding.EncodeToString(text) + end
}

// In returns the ticket that a key begins with; nil when it has none. A key
// that begins like one and is none is an error.
func In(key graniteknot.Key) (*Ticket, error) {
	text, marked := strings.CutPrefix(string(key), mark)
	if !marked {
		return nil, nil //nolint:nilnil // Most keys have no ticket.
	}
	text, own, _ := strings.Cut(text, end)
	raw, err := base64.RawURLEncoding.DecodeString(text)
	t := &Ticket{}
	if err != nil || own == "" || json.Unmarshal(raw, t) != nil {
		return nil, ErrMalformed
	}
	if _, err := netip.ParseAddrPort(string(t.Address)); err != nil || t.Incarnation == 0 || t.Issued <= 0 {
		return nil, ErrMalformed
	}
	return t, nil
}
