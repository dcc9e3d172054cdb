package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	graniteknot "graniteknot.org/go"
)

// pieceSize is how much of a plain answer is passed on at once, in bytes.
const pieceSize = 16 << 10

// Plain is a plain HTTP service. Make it with NewPlain.
type Plain struct {
	url  string
	http *http.Client
}

// NewPlain returns the service at an address.
func NewPlain(a graniteknot.Address) *Plain {
	client := &http.Client{
		Transport: newTransport(),
		// A redirect is the caller's to follow; following it here would be a
		// second call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Plain{url: "http://" + string(a), http: client}
}

// Run implements graniteknot.Target.
func (p *Plain) Run(ctx context.Context, work graniteknot.Work, emit graniteknot.Emit) error {
	request, err := http.NewRequestWithContext(ctx, work.Method, p.url+work.Path, bytes.NewReader(work.Body))
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
	if err := emit(graniteknot.Piece{Status: response.StatusCode, Header: response.Header}); err != nil {
		return err
	}
	return copyBody(response.Body, emit)
}

func copyBody(body io.Reader, emit graniteknot.Emit) error {
	for {
		buffer := make([]byte, pieceSize)
		n, err := body.Read(buffer)
		if n > 0 {
			if err := emit(graniteknot.Piece{Data: buffer[:n]}); err != nil {
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
