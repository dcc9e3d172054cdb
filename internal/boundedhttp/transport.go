// Package boundedhttp bounds what HTTP clients read of a response, whose server may be in trouble and
// send without end, and refuses bodies whose end nothing proves and responses that are no HTTP. It does not
// bound how long a response takes; contexts and timeouts do.
package boundedhttp

import (
	"errors"
	"io"
	"net/http"

	"graniteknot.org/go/internal/strict"
)

// MaxHead bounds the head of a response in bytes, those of 1xx responses before it included. It is to be
// set as MaxResponseHeaderBytes of a transport.
const MaxHead = 64 << 10

// ErrTooLarge is returned when a body is read that exceeds its bound.
var ErrTooLarge = errors.New("response body too large")

// ErrUnframed is returned when a body is read that has neither a length nor chunks. It ends with its
// connection, and that of a server that crashes ends in the same way.
var ErrUnframed = errors.New("response without a length or chunks")

// Transport bounds the bodies of another transport's responses.
type Transport struct {
	// Base makes the calls; nil stands for http.DefaultTransport.
	Base http.RoundTripper
	// MaxBody is the largest body that can be read, in bytes.
	MaxBody int64
	// AcceptUnframed accepts bodies without a length or chunks. It is for callers to whom the content
	// proves that it is whole, as one JSON object does.
	AcceptUnframed bool
}

// NewTransport returns a transport of its own connections that bounds heads and bodies, refuses unframed
// bodies, and does not ask for compressed ones, whose size it would not know.
func NewTransport(maxBody int64) *Transport {
	return &Transport{Base: &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: MaxHead}, MaxBody: maxBody}
}

// RoundTrip implements http.RoundTripper. A body that is unframed, or stated to be too large, fails with
// its first read.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := (&strict.Transport{Base: t.Base}).RoundTrip(r)
	if err != nil {
		return nil, err
	}
	read := &body{ReadCloser: response.Body, left: t.MaxBody}
	switch {
	case !t.AcceptUnframed && response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		read.err = ErrUnframed
	case response.ContentLength > t.MaxBody:
		read.err = ErrTooLarge
	}
	response.Body = read
	return response, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// body reads up to left more bytes. After err, it returns that.
type body struct {
	io.ReadCloser

	left int64
	err  error
}

// Read implements io.Reader. It reads one byte more than the bound, which tells a body that ends there
// from a longer one.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil || len(p) == 0 {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if int64(n) > b.left {
		b.err = ErrTooLarge
		return int(b.left), b.err
	}
	b.left -= int64(n)
	return n, err
}
