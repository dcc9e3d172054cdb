package strict

import "net/http"

// Transport refuses responses of another transport that are no HTTP.
type Transport struct {
	// Base makes the calls; nil stands for http.DefaultTransport.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	response, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// Nothing of the response is used.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
