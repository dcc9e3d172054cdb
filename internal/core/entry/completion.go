package entry

import (
	"net/http"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/settings"
)

// absoluteMaxBody bounds a body whose service is not known yet.
const absoluteMaxBody = 64 << 20

func (e *Entry) chatCompletions(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) }

func (e *Entry) completions(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) }

func (e *Entry) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	q, b, f := e.completionRequest(w, r, chat)
	if f != nil {
		e.reject(w, f)
		return
	}
	e.answer(w, r, q, newCompletionWriter(w, r, q, chat, b.Stream))
}

// completionRequest checks everything that can be checked before a target.
func (e *Entry) completionRequest(w http.ResponseWriter, r *http.Request, chat bool) (*relay.Request, *completionBody, *failure) {
	c, f := e.identify(w, r)
	if f != nil {
		return nil, nil, f
	}
	body, f := readBody(w, r, absoluteMaxBody)
	if f != nil {
		return nil, nil, f
	}
	b, f := parseCompletion(body, chat)
	if f != nil {
		return nil, nil, f
	}
	s, f := c.service(graniteknot.Service(b.Model), settings.ServiceModel)
	if f != nil {
		return nil, nil, f
	}
	if graniteknot.Bytes(len(body)) > s.MaxBody {
		return nil, nil, notRun(http.StatusRequestEntityTooLarge, "too_large", "the body is larger than the service takes")
	}
	q, f := c.request(r, s, body)
	if f != nil {
		return nil, nil, f
	}
	return q, b, b.size(q, s)
}
