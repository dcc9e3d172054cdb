package strict_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"graniteknot.org/go/internal/boundedhttp"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/strict"
)

// serve sends a text in response to each request, and keeps the connection open.
func serve(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var server group.Group
	t.Cleanup(server.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	server.Go(func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
				_, _ = conn.Read(make([]byte, 1))
			}
			_ = conn.Close()
		}
	})
	return "http://" + listener.Addr().String()
}

// get reads a response with a client of its own connections.
func get(t *testing.T, url string, transport http.RoundTripper) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: transport}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// transports returns those that every client of this product uses.
func transports() map[string]http.RoundTripper {
	return map[string]http.RoundTripper{
		"strict":  &strict.Transport{Base: &http.Transport{}},
		"bounded": boundedhttp.NewTransport(1 << 10),
	}
}

// TestStatusOutsideHTTPFails guards against statuses that are none and that a client takes for an answer.
func TestStatusOutsideHTTPFails(t *testing.T) {
	for _, status := range []string{"000", "099", "-00", "+20", "101", "600", "999"} {
		for name, transport := range transports() {
			if body, err := get(t, serve(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\nhalf"), transport); err == nil {
				t.Errorf("%s, status %s: %q", name, status, body)
			}
		}
	}
}

// TestBadFieldsFail guards against names of fields that are none: a client would read a body that is framed by something else.
func TestBadFieldsFail(t *testing.T) {
	for _, rest := range []string{
		"X A: b\r\nContent-Length: 4\r\n\r\nhalf", "Content-Length : 4\r\n\r\nhalf of it", "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"X\x01A: b\r\nContent-Length: 4\r\n\r\nhalf", "X\tA: b\r\nContent-Length: 4\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX A: b\r\n\r\n",
	} {
		for name, transport := range transports() {
			if body, err := get(t, serve(t, "HTTP/1.1 200 OK\r\n"+rest), transport); err == nil {
				t.Errorf("%s, %q: %q", name, rest, body)
			}
		}
	}
}

// TestSoundResponsesPass guards against sound responses that are refused.
func TestSoundResponsesPass(t *testing.T) {
	for _, head := range []string{"200 OK", "599 X", "100 Continue\r\n\r\nHTTP/1.1 404 Not Found"} {
		for name, transport := range transports() {
			if body, err := get(t, serve(t, "HTTP/1.1 "+head+"\r\nX-A: b\r\nContent-Length: 5\r\n\r\nsound"), transport); body != "sound" || err != nil {
				t.Errorf("%s, %q: %q, %v", name, head, body, err)
			}
		}
	}
}
