package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/flight"
	"graniteknot.org/go/internal/strict"
)

// pieceSize is how much of a plain answer is passed on at once, in bytes.
const pieceSize = 16 << 10

var errEnded = errors.New("the service ended before the end of its answer was proved")

// Plain is a plain HTTP service. Make it with NewPlain.
type Plain struct {
	address string
	http    *http.Client
}

// NewPlain returns the service at an address.
func NewPlain(a graniteknot.Address) *Plain {
	client := &http.Client{
		Transport: &strict.Transport{Base: newTransport()},
		// A redirect is the caller's to follow; following it here would be a
		// second call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Plain{address: string(a), http: client}
}

// Run implements graniteknot.Target.
func (p *Plain) Run(ctx context.Context, work graniteknot.Work, emit graniteknot.Emit) error {
	request, err := http.NewRequestWithContext(ctx, work.Method, "http://"+p.address+work.Path, bytes.NewReader(work.Body))
	if err != nil {
		return fmt.Errorf("target: %w: %w", graniteknot.ErrNotHandedOver, err)
	}
	request.GetBody = nil
	request.Header = work.Header
	response, err := p.http.Do(request)
	if err != nil {
		return classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > flight.MaxSize && work.Method != http.MethodHead {
		return fmt.Errorf("target: %w", flight.ErrTooLarge)
	}
	if err := emit(graniteknot.Piece{Status: response.StatusCode, Header: response.Header}); err != nil {
		return err
	}
	if err := copyBody(response.Body, emit); err != nil {
		return err
	}
	if endsWithConnection(response) && !p.listens(ctx) {
		return fmt.Errorf("target: %w", errEnded)
	}
	return nil
}

// endsWithConnection tells whether the connection's close is all that marks the end of an answer.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
}

// listens tells whether the service accepts connections. One whose process has ended does not, and its connections
// were closed as those of a whole answer are.
func (p *Plain) listens(ctx context.Context) bool {
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func copyBody(body io.Reader, emit graniteknot.Emit) error {
	buffer := make([]byte, pieceSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			// Pieces are kept, and may be much smaller than the buffer.
			if err := emit(graniteknot.Piece{Data: bytes.Clone(buffer[:n])}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("target: %w", err)
		}
	}
}

// Load implements graniteknot.Target; plain services report nothing.
func (p *Plain) Load(context.Context) (graniteknot.TargetLoad, error) {
	return graniteknot.TargetLoad{}, nil
}
