package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/strict"
)

// Caller is a client program of one client account. Set the exported fields before use.
type Caller struct {
	// EntryAddresses are the entries to look up addresses at. Entries of an expired address
	// list are asked before them.
	EntryAddresses []graniteknot.Address
	Key            string
	HTTP           *http.Client

	mu sync.Mutex
	// addresses caches the last address list of each service.
	addresses map[graniteknot.Service]*addressList
}

// addressList is the response to an address lookup.
type addressList struct {
	Addresses []struct {
		Address graniteknot.Address `json:"address"`
	} `json:"addresses"`
	ValidForSeconds int64  `json:"valid_for_seconds"`
	KeyPrefix       string `json:"key_prefix"`
	validUntil      time.Time
}

// Call is one request.
type Call struct {
	Service graniteknot.Service
	Method  string
	// Path is the request path, as the entry receives it.
	Path string
	Body []byte
	// IdempotencyKey, if set, marks the call as not repeatable.
	IdempotencyKey string
	// Stream requests server-sent events.
	Stream bool
	// Kind is how the call is sent and its response is read.
	Kind CallerKind
}

// runsOnce reports whether the call is for a stream that may run once.
func (c *Call) runsOnce() bool { return c.Stream && c.Kind == CallerOnce }

// isLost reports whether a call that may run once may have run without an answer, so that it must not be sent again.
func (c *Call) isLost(result *Result, err error) bool {
	if !c.runsOnce() {
		return false
	}
	if err != nil {
		return !neverSent(err)
	}
	return result.Outcome == graniteknot.OutcomeUnknown
}

var errNoAddresses = errors.New("load: no entry returned an address list")

// neverSent reports whether a call with an error of Do has not left the caller.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.Is(err, errNoAddresses) || errors.As(err, &failed) && failed.Op == "dial"
}

// Do sends a call to the entry that is listed first, or for later attempts to the next
// ones in turn. An error means that the caller does not know the outcome; the result has what arrived
// of the response, nil if nothing did.
func (c *Caller) Do(ctx context.Context, call *Call, attempt int) (*Result, error) {
	list, err := c.resolve(ctx, call.Service)
	if err != nil {
		return nil, err
	}
	entry := list.Addresses[attempt%len(list.Addresses)].Address
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+string(entry)+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
		request.Header.Set("Graniteknot-Repeatable", "no")
	}
	if call.runsOnce() {
		request.Header.Set("Graniteknot-Repeatable", "no")
	}
	response, err := c.roundTrip(request, call.Kind)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	result := &Result{
		Status: response.StatusCode, FirstChunkAt: time.Now(), Entry: entry,
		ID: graniteknot.RequestID(response.Header.Get("Graniteknot-Request-Id")),
	}
	return result, result.read(response, call)
}

// roundTrip sends a request as a kind of caller does.
func (c *Caller) roundTrip(request *http.Request, kind CallerKind) (*http.Response, error) {
	if kind == CallerHTTP10 {
		return (&strict.Transport{Base: http10Transport{}}).RoundTrip(request)
	}
	response, err := c.do(request)
	if err == nil && kind == CallerSlow {
		response.Body = &slowBody{ReadCloser: response.Body}
	}
	return response, err
}

// do sends a request and refuses a response that is no HTTP.
func (c *Caller) do(request *http.Request) (*http.Response, error) {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	if err := strict.Check(response); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	return response, nil
}

// NewIdempotencyKey returns a key for a call that is not repeatable.
func (c *Caller) NewIdempotencyKey(ctx context.Context, s graniteknot.Service) (string, error) {
	list, err := c.resolve(ctx, s)
	if err != nil {
		return "", err
	}
	return list.KeyPrefix + newUUIDv7(), nil
}

// ForgetAddresses drops a service's cached address list, so that the next call looks it
// up again.
func (c *Caller) ForgetAddresses(s graniteknot.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addresses, s)
}

// resolve returns the cached address list of a service, or looks it up if it has expired.
func (c *Caller) resolve(ctx context.Context, s graniteknot.Service) (*addressList, error) {
	c.mu.Lock()
	list := c.addresses[s]
	c.mu.Unlock()
	if list != nil && time.Now().Before(list.validUntil) {
		return list, nil
	}
	entries := c.EntryAddresses
	if list != nil {
		entries = nil
		for _, a := range list.Addresses {
			entries = append(entries, a.Address)
		}
		entries = append(entries, c.EntryAddresses...)
	}
	for _, entry := range entries {
		fresh, err := c.fetchAddresses(ctx, entry, s)
		if err != nil || len(fresh.Addresses) == 0 {
			continue
		}
		c.mu.Lock()
		if c.addresses == nil {
			c.addresses = map[graniteknot.Service]*addressList{}
		}
		c.addresses[s] = fresh
		c.mu.Unlock()
		return fresh, nil
	}
	return nil, errNoAddresses
}

func (c *Caller) fetchAddresses(ctx context.Context, entry graniteknot.Address, s graniteknot.Service) (*addressList, error) {
	url := fmt.Sprintf("http://%s/v1/addresses?service=%s", entry, s)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("load: address lookup: %s", response.Status)
	}
	list := &addressList{}
	if err := json.NewDecoder(response.Body).Decode(list); err != nil {
		return nil, err
	}
	list.validUntil = time.Now().Add(time.Duration(list.ValidForSeconds) * time.Second)
	return list, nil
}
