// Package target speaks to what stands behind an agent: model engines over
// OpenAI-shaped completion calls with server-sent events, and plain services
// over HTTP. Fencing and at-most-once are left to package serve; this package
// only makes sure that its HTTP client never sends a call twice on its own.
package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/boundedhttp"
	"graniteknot.org/go/internal/orderly"
)

var dialer = net.Dialer{Timeout: time.Second}

// newTransport returns a transport whose connections are each used for one
// call: net/http may send a call again on its own when a reused connection
// breaks, and a call that may not be repeated must not meet that.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: boundedhttp.MaxHead,
	}
}

// dial opens a connection that tells an orderly end from a break, since a plain answer may have no other end.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return orderly.New(conn), nil
}

// classify marks errors of a connection that was never made.
func classify(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fmt.Errorf("target: %w: %w", graniteknot.ErrNotHandedOver, err)
	}
	return fmt.Errorf("target: %w", err)
}
