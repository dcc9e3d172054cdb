package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/settings"
)

const (
	// bytesPerToken is the usual estimate for the size of a prompt.
	bytesPerToken = 4
	// prefixBlock is how many bytes of the prompt one prefix hash covers.
	prefixBlock = 256
	// maxPrefixes bounds the hashes of one prompt.
	maxPrefixes = 16
	// prefillPerToken is the usual time to read one token of a prompt.
	prefillPerToken = 50 * time.Microsecond
	// defaultMaxTokens is what an answer may have when the caller says nothing.
	defaultMaxTokens = 256
)

// completionBody is the part of an OpenAI-shaped body that the system reads.
// The whole body goes to the engine as it came.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseCompletion checks a body without knowing the service yet.
func parseCompletion(body []byte, chat bool) (*completionBody, *failure) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badBody("JSON of an OpenAI-shaped completion: " + err.Error())
	}
	if b.Model == "" {
		return nil, badBody("model, the name of a service")
	}
	if chat && len(b.Messages) == 0 {
		return nil, badBody("messages, at least one")
	}
	if !chat && len(b.Prompt) == 0 {
		return nil, badBody("prompt, a text")
	}
	if b.MaxTokens != nil && *b.MaxTokens < 1 {
		return nil, badBody("max_tokens from 1")
	}
	return &b, nil
}

func badBody(expected string) *failure {
	return notRun(http.StatusBadRequest, "bad_body", "expected "+expected)
}

// size fills in what a request is expected to cost.
func (b *completionBody) size(q *relay.Request, s *settings.ServiceView) *failure {
	most := graniteknot.Tokens(defaultMaxTokens)
	if b.MaxTokens != nil {
		most = graniteknot.Tokens(*b.MaxTokens)
	}
	if most > s.MaxTokens {
		return badBody("max_tokens within the service's limit")
	}
	prompt := b.text()
	tokens := graniteknot.Tokens(len(prompt) / bytesPerToken)
	q.Cost = tokens + most
	q.PrefillTime = time.Duration(tokens) * prefillPerToken
	q.Prefixes = Prefixes(prompt)
	return nil
}

// text is the prompt as the prefix cache sees it.
func (b *completionBody) text() []byte {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var out []byte
	for _, m := range b.Messages {
		out = append(out, m.Role...)
		out = append(out, m.Content...)
	}
	return out
}

// Prefixes returns the hashes of a prompt's prefixes in whole blocks, shortest
// first.
func Prefixes(prompt []byte) []uint64 {
	var out []uint64
	for n := prefixBlock; n <= len(prompt) && len(out) < maxPrefixes; n += prefixBlock {
		out = append(out, xxhash.Sum64(prompt[:n]))
	}
	return out
}
