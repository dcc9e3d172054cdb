package strict

import (
	"errors"
	"io"
	"net/http"
)

// Check returns an error for a response whose head is no HTTP, of which nothing can be used. From then on, reading
// the body fails at its end if its trailers are none.
func Check(r *http.Response) error {
	if err := checkStatus(r); err != nil {
		return err
	}
	if err := checkFields(r.Header); err != nil {
		return err
	}
	if len(r.TransferEncoding) > 0 {
		r.Body = &trailedBody{ReadCloser: r.Body, response: r}
	}
	return nil
}

// trailedBody is a body that trailers may follow.
type trailedBody struct {
	io.ReadCloser

	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if bad := checkFields(b.response.Trailer); bad != nil {
			return n, bad
		}
	}
	return n, err
}
