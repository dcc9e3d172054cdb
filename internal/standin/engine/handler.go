package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/target"
)

const (
	maxBody          = 64 << 20
	defaultMaxTokens = 256
)

// body is the part of a completion call that the engine reads.
type body struct {
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// PromptOf returns what the tokens of a call depend on, and their number.
func PromptOf(raw []byte) (prompt []byte, tokens int, err error) {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, 0, fmt.Errorf("engine: %w", err)
	}
	prompt = b.Prompt
	for _, m := range b.Messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, m.Content...)
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	return prompt, b.MaxTokens, nil
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(target.CompletionsPath, e.complete).Methods(http.MethodPost)
	r.HandleFunc(target.LoadPath, e.load).Methods(http.MethodGet)
	r.HandleFunc(target.OrdersPath, e.takeOrder).Methods(http.MethodPost)
	return r
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Load())
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body is too large or cut off", http.StatusBadRequest)
		return
	}
	prompt, tokens, err := PromptOf(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resume, _ := strconv.Atoi(r.Header.Get(target.HeaderResumeAfter))
	priority, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(target.HeaderResumeAfter, strconv.Itoa(resume))
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	given := resume
	for token := range e.Submit(r.Context(), prompt, priority, resume, tokens) {
		if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", token); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		given++
	}
	if given >= tokens {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// takeOrder takes an order that is not fenced off.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o graniteknot.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, "expected an order in JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFences && o.Fence.Less(e.fence) {
		http.Error(w, "a higher fence was seen", http.StatusConflict)
		return
	}
	e.fence = o.Fence
	if e.ordered == nil {
		e.ordered = map[graniteknot.OrderKind]string{}
	}
	e.ordered[o.Kind] = o.Name
}

// Ordered returns what the engine was ordered last of a kind.
func (e *Engine) Ordered(kind graniteknot.OrderKind) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ordered[kind]
}
