package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventstream"
	"graniteknot.org/go/internal/strict"
)

// Headers that an engine understands beside the completion call.
const (
	// HeaderResumeAfter asks to leave out so many tokens of the answer. An
	// engine that does repeats it in its answer's head.
	HeaderResumeAfter = "X-Resume-After"
	// HeaderPriority orders the engine's own queue.
	HeaderPriority = "X-Priority"
	// LoadPath is where an engine reports its load as JSON.
	LoadPath = "/load"
	// OrdersPath is where an engine takes orders as JSON.
	OrdersPath = "/orders"
	// CompletionsPath is where an engine takes work.
	CompletionsPath = "/v1/completions"
)

const (
	// maxEvent bounds one server-sent event, in bytes.
	maxEvent = 1 << 20
	// readSize is how much of a stream is read at once, in bytes.
	readSize = 4 << 10
	// endMarker is the data of the event that ends a stream.
	endMarker = "[DONE]"
)

var (
	errNoEnd         = errors.New("the stream ended without its end")
	errNotResumed    = errors.New("the engine's answer doesn't say that it leaves out what the caller has")
	errNoEvent       = errors.New("the stream has bytes that are no event")
	errEngineFailed  = errors.New("the engine can't finish the answer")
	errEventTooLarge = errors.New("an event of the stream is too large")
)

// Engine is a model engine. Make it with NewEngine.
type Engine struct {
	url  string
	http *http.Client
}

// maxLoad bounds a report of an engine's load, in bytes.
const maxLoad = 64 << 10

// NewEngine returns the engine at an address. Its calls reuse connections:
// a POST with neither a body that can be read again nor an idempotency header
// is never sent twice by net/http.
func NewEngine(a graniteknot.Address) *Engine {
	transport := newTransport()
	transport.DisableKeepAlives = false
	transport.MaxIdleConnsPerHost = 256
	transport.IdleConnTimeout = time.Minute
	return &Engine{url: "http://" + string(a), http: &http.Client{Transport: &strict.Transport{Base: transport}}}
}

// Close closes idle connections.
func (e *Engine) Close() { e.http.CloseIdleConnections() }

// Run implements graniteknot.Target.
func (e *Engine) Run(ctx context.Context, work graniteknot.Work, emit graniteknot.Emit) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+CompletionsPath, bytes.NewReader(work.Body))
	if err != nil {
		return fmt.Errorf("target: %w: %w", graniteknot.ErrNotHandedOver, err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderResumeAfter, strconv.FormatInt(int64(work.ResumeAfter), 10))
	request.Header.Set(HeaderPriority, strconv.FormatInt(int64(work.Priority), 10))
	response, err := e.http.Do(request)
	if err != nil {
		return classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("target: engine answered %s", response.Status)
	}
	if !resumed(response, work.ResumeAfter) {
		return fmt.Errorf("target: %w", errNotResumed)
	}
	return readEvents(response.Body, emit)
}

// resumed tells whether an answer leaves out what was asked for; all others would be joined to tokens of another run.
func resumed(r *http.Response, after graniteknot.Tokens) bool {
	return after == 0 || r.Header.Get(HeaderResumeAfter) == strconv.FormatInt(int64(after), 10)
}

// event is the part of a completion chunk that is passed on.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	// Error is set where the engine can't finish the answer.
	Error json.RawMessage `json:"error"`
}

// failed tells whether an event says that the engine can't finish the answer.
func (e *event) failed() bool { return len(e.Error) > 0 && string(e.Error) != "null" }

// readEvents emits one piece for each event, and returns nil only after the
// end marker.
func readEvents(r io.Reader, emit graniteknot.Emit) error {
	var splitter eventstream.Splitter
	buffer := make([]byte, readSize)
	for {
		n, err := r.Read(buffer)
		ended, emitErr := emitEvents(splitter.Feed(buffer[:n]), emit)
		switch {
		case emitErr != nil || ended:
			return emitErr
		case errors.Is(err, io.EOF):
			return fmt.Errorf("target: %w", errNoEnd)
		case err != nil:
			return fmt.Errorf("target: %w", err)
		case splitter.Partial() > maxEvent:
			return fmt.Errorf("target: %w", errEventTooLarge)
		}
	}
}

// emitEvents emits the pieces of complete events, and reports whether the end marker is among them.
func emitEvents(complete []byte, emit graniteknot.Emit) (ended bool, err error) {
	for len(complete) > 0 {
		data, rest, ok := eventstream.Next(complete)
		if !ok {
			return false, fmt.Errorf("target: %w", errNoEvent)
		}
		complete = rest
		if string(data) == endMarker {
			return true, nil
		}
		if err := emitEvent(data, emit); err != nil {
			return false, err
		}
	}
	return false, nil
}

// emitEvent emits the pieces of an event's data.
func emitEvent(data []byte, emit graniteknot.Emit) error {
	if len(data) == 0 {
		return nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("target: malformed event: %w", err)
	}
	if e.failed() {
		return fmt.Errorf("target: %w: %.200s", errEngineFailed, e.Error)
	}
	for _, c := range e.Choices {
		if err := emit(graniteknot.Piece{Data: []byte(c.Text)}); err != nil {
			return err
		}
	}
	return nil
}

// Load implements graniteknot.Target.
func (e *Engine) Load(ctx context.Context) (graniteknot.TargetLoad, error) {
	var load graniteknot.TargetLoad
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url+LoadPath, http.NoBody)
	if err != nil {
		return load, fmt.Errorf("target: %w", err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return load, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoad)).Decode(&load); err != nil {
		return load, fmt.Errorf("target: malformed load: %w", err)
	}
	return load, nil
}

// Order implements graniteknot.OrderTaker.
func (e *Engine) Order(ctx context.Context, o graniteknot.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := e.http.Do(request)
	if err != nil {
		return classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("target: the engine answered the order with %s", response.Status)
	}
	return nil
}
