package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/core/ticket"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/settings"
)

const maxKeyLength = 512

// lastWrite is how long after its deadline a request's outcome may be written.
const lastWrite = 2 * time.Second

// identify proves who calls.
func (e *Entry) identify(w http.ResponseWriter, r *http.Request) (*caller, *failure) {
	c := &caller{id: newRequestID(), tree: e.node.Store.Tree(), arrived: time.Now()}
	w.Header().Set(HeaderRequestID, string(c.id))
	bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		c.account, ok = c.tree.AccountByKey(bearer)
	}
	if !ok {
		return nil, notRun(http.StatusUnauthorized, "unknown_key", "send Authorization: Bearer with a client account's key")
	}
	return c, nil
}

// service finds a service that the caller may use.
func (c *caller) service(name graniteknot.Service, kind settings.ServiceKind) (*settings.ServiceView, *failure) {
	s, ok := c.tree.Service(c.account.Partner, name)
	if !ok || s.Kind != kind {
		return nil, notRun(http.StatusNotFound, "unknown_service", "there is no such service here: "+string(name))
	}
	if !c.account.May(name) {
		return nil, notRun(http.StatusForbidden, "forbidden_service", "the account may not use service "+string(name))
	}
	return s, nil
}

// readBody reads a body of bounded size.
func readBody(w http.ResponseWriter, r *http.Request, limit graniteknot.Bytes) ([]byte, *failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "the body may have " + strconv.FormatInt(int64(limit), 10) + " bytes"
		return nil, notRun(http.StatusRequestEntityTooLarge, "too_large", message)
	}
	if err != nil {
		return nil, notRun(http.StatusBadRequest, "cut_off", "the body ended early")
	}
	return body, nil
}

// request makes the relay's request from what the headers say.
func (c *caller) request(r *http.Request, s *settings.ServiceView, body []byte) (*relay.Request, *failure) {
	q := &relay.Request{
		ID: c.id, Account: c.account, Service: s, Body: body, Try: 1, Repeatable: s.Repeatable,
		Deadline: c.arrived.Add(min(s.Deadline, c.account.Deadline)),
		Priority: max(s.Priority, c.account.Priority),
	}
	if f := repeatableHeader(r.Header.Get(HeaderRepeatable), q); f != nil {
		return nil, f
	}
	if f := keyHeader(r.Header.Get(HeaderKey), q); f != nil {
		return nil, f
	}
	return q, tryHeader(r.Header.Get(HeaderTry), q)
}

func badHeader(name, expected string) *failure {
	return notRun(http.StatusBadRequest, "bad_header", name+": expected "+expected)
}

func repeatableHeader(text string, q *relay.Request) *failure {
	switch text {
	case "":
	case "yes":
		q.Repeatable = true
	case "no":
		q.Repeatable = false
	default:
		return badHeader(HeaderRepeatable, "yes or no")
	}
	return nil
}

// keyHeader reads the key, and the ticket or the time that it may carry.
func keyHeader(text string, q *relay.Request) *failure {
	if len(text) > maxKeyLength {
		return badHeader(HeaderKey, "at most "+strconv.Itoa(maxKeyLength)+" bytes")
	}
	q.Key = graniteknot.Key(text)
	q.KeyTime = keyTime(text)
	t, err := ticket.In(q.Key)
	if err != nil || t != nil && t.Service != q.Service.Name {
		return badHeader(HeaderKey, "a key_prefix of an address answer for this service, and the caller's own part behind it")
	}
	q.Ticket = t
	return nil
}

func tryHeader(text string, q *relay.Request) *failure {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return badHeader(HeaderTry, "a whole number from 1")
	}
	q.Try = uint32(n)
	return nil
}

// keyTime returns the time in a version 7 UUID, or the zero time.
func keyTime(key string) time.Time {
	const length, version = 36, 14
	if len(key) != length || key[version] != '7' || strings.Count(key, "-") != 4 {
		return time.Time{}
	}
	ms, err := strconv.ParseInt(key[:8]+key[9:13], 16, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// answerWriter writes one answer to its caller.
type answerWriter interface {
	// piece takes the next part of the answer.
	piece(p graniteknot.Piece) error
	// end writes the end of the answer, or the truth about its lack.
	end(r relay.Result)
}

// answer takes a request that was understood through the limits to its outcome.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, q *relay.Request, a answerWriter) {
	e.counts.received.Add(1)
	e.note(timeline.KindReceived, q.ID, string(q.Account.Partner)+"/"+string(q.Account.Name)+" "+string(q.Service.Name))
	admitted, f := e.admit(r, q)
	if f != nil {
		f.write(w)
		return
	}
	// A caller that does not read must not hold its request for ever. The
	// connection may serve other requests after this one, so the bound is taken
	// off again.
	bound := http.NewResponseController(w)
	_ = bound.SetWriteDeadline(q.Deadline.Add(lastWrite))
	result := e.relay.Do(r.Context(), q, a.piece)
	admitted.Release()
	e.count(result)
	a.end(result)
	_ = bound.SetWriteDeadline(time.Time{})
}
