package services

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/boundedhttp"
)

// callTime bounds a call whose context has no deadline.
const callTime = 5 * time.Second

// Appended answers an append.
type Appended struct {
	Offset graniteknot.Offset `json:"offset"`
}

// Records answers a read.
type Records struct {
	Records []Record           `json:"records"`
	First   graniteknot.Offset `json:"first"`
	Next    graniteknot.Offset `json:"next"`
}

// Record is one record of an answer; JSON carries its data in base64.
type Record struct {
	Offset graniteknot.Offset `json:"offset"`
	Data   []byte             `json:"data"`
}

// maxResponse bounds a response of the platform.
const maxResponse = 64 << 20

func newClient() *http.Client {
	return &http.Client{Timeout: callTime, Transport: boundedhttp.NewTransport(maxResponse)}
}

// Log is the platform's log. Make it with NewLog.
type Log struct {
	base string
	http *http.Client
}

// NewLog returns the log at an address.
func NewLog(a graniteknot.Address) *Log {
	return &Log{base: "http://" + string(a), http: newClient()}
}

func (l *Log) url(stream graniteknot.Stream) string {
	return l.base + strings.Replace(RecordsPath, "{stream}", string(stream), 1)
}

// Append implements graniteknot.Log.
func (l *Log) Append(ctx context.Context, stream graniteknot.Stream, data []byte) (graniteknot.Offset, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append: %w", err)
	}
	// The log has no keys: a second copy sent by the HTTP client would be a
	// second record.
	request.GetBody = nil
	var answer Appended
	if err := do(l.http, request, &answer); err != nil {
		return 0, fmt.Errorf("append: %w", err)
	}
	return answer.Offset, nil
}

// Read implements graniteknot.Log.
func (l *Log) Read(ctx context.Context, stream graniteknot.Stream, from graniteknot.Offset, limit int) (graniteknot.Page, error) {
	url := fmt.Sprintf("%s?from=%d&limit=%d", l.url(stream), from, limit)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return graniteknot.Page{}, fmt.Errorf("read: %w", err)
	}
	var answer Records
	if err := do(l.http, request, &answer); err != nil {
		return graniteknot.Page{}, fmt.Errorf("read: %w", err)
	}
	page := graniteknot.Page{First: answer.First, Next: answer.Next}
	for _, r := range answer.Records {
		page.Records = append(page.Records, graniteknot.Record(r))
	}
	return page, nil
}

func do(client *http.Client, request *http.Request, answer any) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the platform answered %s", response.Status)
	}
	return json.NewDecoder(response.Body).Decode(answer)
}
