package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"k8s.io/klog/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
)

// completionWriter writes one OpenAI-shaped answer, streamed or whole.
type completionWriter struct {
	w       http.ResponseWriter
	ending  ending
	request *relay.Request
	chat    bool
	stream  bool
	// begun tells that the header was sent, so that only trailers are left.
	begun  bool
	tokens graniteknot.Tokens
	text   strings.Builder
}

// completion is the JSON of a whole answer or of one streamed chunk.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int          `json:"index"`
	Text    string       `json:"text,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int64 `json:"completion_tokens"`
}

func newCompletionWriter(w http.ResponseWriter, r *http.Request, q *relay.Request, chat, stream bool) *completionWriter {
	return &completionWriter{w: w, ending: newEnding(w, r), request: q, chat: chat, stream: stream}
}

// piece takes one token.
func (c *completionWriter) piece(p graniteknot.Piece) error {
	c.tokens++
	if !c.stream {
		c.text.Write(p.Data)
		return nil
	}
	c.begin()
	return c.event(c.chunk(string(p.Data)))
}

func (c *completionWriter) begin() {
	if c.begun {
		return
	}
	c.begun = true
	c.ending.begin()
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	c.w.WriteHeader(http.StatusOK)
}

func (c *completionWriter) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.line(data)
}

func (c *completionWriter) line(data []byte) error {
	buffer := make([]byte, 0, len(data)+len("data: \n\n"))
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, '\n', '\n')
	if _, err := c.w.Write(buffer); err != nil {
		return err
	}
	return c.ending.flush.Flush()
}

func (c *completionWriter) chunk(text string) completion {
	if c.chat {
		return c.completion("chat.completion.chunk", choice{Delta: &chatMessage{Content: text}})
	}
	return c.completion("text_completion", choice{Text: text})
}

func (c *completionWriter) completion(object string, one choice) completion {
	return completion{
		ID: string(c.request.ID), Object: object, Model: string(c.request.Service.Name), Choices: []choice{one},
	}
}

// end writes the end of the answer, or the truth about its lack.
func (c *completionWriter) end(r relay.Result) {
	whole := r.Outcome == graniteknot.OutcomeAnswered && r.Code == relay.CodeNone
	switch {
	case !whole && !c.begun:
		resultFailure(r).write(c.w)
	case !whole:
		// The event says why; callers that look at the framing alone see a break.
		_ = c.event(resultFailure(r).body())
		panic(http.ErrAbortHandler)
	case c.stream:
		c.begin()
		if c.line([]byte("[DONE]")) == nil {
			c.ending.end()
		}
	default:
		c.whole()
		return
	}
	c.w.Header().Set(http.TrailerPrefix+HeaderOutcome, r.Outcome.String())
}

func (c *completionWriter) whole() {
	stop := "stop"
	one := choice{Text: c.text.String(), Finish: &stop}
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		one = choice{Message: &chatMessage{Role: "assistant", Content: c.text.String()}, Finish: &stop}
	}
	answer := c.completion(object, one)
	answer.Usage = &usage{CompletionTokens: int64(c.tokens)}
	text, err := json.Marshal(answer)
	if err != nil {
		klog.ErrorS(err, "the answer can't be encoded", "request", c.request.ID)
		panic(http.ErrAbortHandler)
	}
	text = append(text, '\n')
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(HeaderOutcome, graniteknot.OutcomeAnswered.String())
	c.ending.setLength(c.w.Header(), len(text))
	c.ending.begin()
	if _, err := c.w.Write(text); err == nil {
		c.ending.end()
	}
}
