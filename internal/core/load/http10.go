package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// http10Transport sends each request as HTTP/1.0 over a connection of its own. The body of a response without a
// length ends with the connection: in order with io.EOF, else with an error.
type http10Transport struct{}

// RoundTrip implements http.RoundTripper.
func (http10Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(r.Context(), "tcp", r.URL.Host)
	if err != nil {
		return nil, errors.Join(err, closeBody(r))
	}
	stop := context.AfterFunc(r.Context(), func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	body := &http10Body{conn: conn, stop: stop}
	if err := errors.Join(writeHTTP10(conn, r), closeBody(r)); err != nil {
		return nil, errors.Join(err, body.Close())
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return nil, errors.Join(err, body.Close())
	}
	body.Reader = response.Body
	response.Body = body
	return response, nil
}

func closeBody(r *http.Request) error {
	if r.Body == nil {
		return nil
	}
	return r.Body.Close()
}

// writeHTTP10 writes a request, whose body has a known length.
func writeHTTP10(w io.Writer, r *http.Request) error {
	b := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(b, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", r.Method, r.URL.RequestURI(), r.URL.Host, r.ContentLength)
	_ = r.Header.Write(b)
	_, _ = b.WriteString("\r\n")
	if r.Body != nil {
		if _, err := io.Copy(b, r.Body); err != nil {
			return err
		}
	}
	return b.Flush()
}
