package entry

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/settings"
)

// holdBack is how much of a plain answer is kept before any of it is sent, so
// that a short answer carries its outcome in a header.
const holdBack = 64 << 10

// plain takes a call of a plain service.
func (e *Entry) plain(w http.ResponseWriter, r *http.Request) {
	q, f := e.plainRequest(w, r)
	if f != nil {
		e.reject(w, f)
		return
	}
	e.answer(w, r, q, &plainWriter{w: w, ending: newEnding(w, r)})
}

func (e *Entry) plainRequest(w http.ResponseWriter, r *http.Request) (*relay.Request, *failure) {
	c, f := e.identify(w, r)
	if f != nil {
		return nil, f
	}
	name := mux.Vars(r)["service"]
	s, f := c.service(graniteknot.Service(name), settings.ServicePlain)
	if f != nil {
		return nil, f
	}
	body, f := readBody(w, r, s.MaxBody)
	if f != nil {
		return nil, f
	}
	q, f := c.request(r, s, body)
	if f != nil {
		return nil, f
	}
	q.Cost = 1
	q.Method = r.Method
	q.Path = servicePath(r, name)
	q.Header = forwardHeader(r.Header)
	q.Header.Set("X-Client-Account", string(c.account.Name))
	return q, nil
}

// servicePath is the path and query behind the service's name.
func servicePath(r *http.Request, name string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// notForwarded lists the headers that belong to one connection or to the
// system itself.
func notForwarded(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
		HeaderKey, HeaderRepeatable, HeaderTry, HeaderOutcome, HeaderRequestID:
		return true
	}
	return false
}

func forwardHeader(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if !notForwarded(name) {
			out[name] = values
		}
	}
	return out
}

// plainWriter writes one plain answer.
type plainWriter struct {
	w      http.ResponseWriter
	ending ending
	// status is 0 until the first piece.
	status int
	header http.Header
	held   bytes.Buffer
	begun  bool
}

func (p *plainWriter) piece(piece graniteknot.Piece) error {
	if piece.Status != 0 {
		p.status = piece.Status
		p.header = piece.Header
		return nil
	}
	if !p.begun && p.held.Len()+len(piece.Data) <= holdBack {
		p.held.Write(piece.Data)
		return nil
	}
	p.begin()
	if _, err := p.w.Write(piece.Data); err != nil {
		return err
	}
	return p.ending.flush.Flush()
}

// begin sends the header and what was held back.
func (p *plainWriter) begin() {
	if p.begun {
		return
	}
	p.begun = true
	p.ending.begin()
	for name, values := range p.header {
		if !notForwarded(name) {
			p.w.Header()[name] = values
		}
	}
	p.w.WriteHeader(p.status)
	_, _ = p.w.Write(p.held.Bytes()) //nolint:gosec // A plain service's answer is passed on as it is.
}

// end writes the end of the answer. An answer that was begun and can't be
// finished is cut off, so that no caller takes it for whole.
func (p *plainWriter) end(r relay.Result) {
	whole := r.Outcome == graniteknot.OutcomeAnswered && r.Code == relay.CodeNone && p.status != 0
	switch {
	case whole && !p.begun:
		p.w.Header().Set(HeaderOutcome, r.Outcome.String())
		p.ending.setLength(p.w.Header(), p.held.Len())
		p.begin()
		p.ending.end()
	case whole:
		p.w.Header().Set(http.TrailerPrefix+HeaderOutcome, r.Outcome.String())
		p.ending.end()
	case !p.begun:
		resultFailure(r).write(p.w)
	default:
		panic(http.ErrAbortHandler)
	}
}
