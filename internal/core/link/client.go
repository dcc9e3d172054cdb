package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/boundedhttp"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/strict"
	"graniteknot.org/go/internal/wire"
)

// Client reaches other processes. Make it with NewClient.
type Client struct {
	http *http.Client
	// unary makes the calls whose responses are one message.
	unary *http.Client

	agents stubs[wire.Agent]
	peers  stubs[wire.Peer]
}

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: boundedhttp.MaxHead,
	}
	return &Client{http: &http.Client{Transport: &strict.Transport{Base: transport}}, unary: &http.Client{Transport: &boundedhttp.Transport{Base: transport, MaxBody: MaxMessage}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Agent returns the unary calls of an agent.
func (c *Client) Agent(a graniteknot.Address) wire.Agent {
	return c.agents.get(a, func(url string) wire.Agent { return wire.NewAgentProtobufClient(url, c.unary) })
}

// Peer returns the calls that every process answers.
func (c *Client) Peer(a graniteknot.Address) wire.Peer {
	return c.peers.get(a, func(url string) wire.Peer { return wire.NewPeerProtobufClient(url, c.unary) })
}

// maxStubs bounds the addresses that clients are kept for; boxes are replaced
// all the time, and what is still used is made again.
const maxStubs = 4096

// stubs keeps the twirp client of each address, which is not cheap to make.
type stubs[T any] struct {
	mu    sync.Mutex
	known map[graniteknot.Address]T
}

func (s *stubs[T]) get(a graniteknot.Address, make func(url string) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil || len(s.known) >= maxStubs {
		s.known = map[graniteknot.Address]T{}
	}
	stub, ok := s.known[a]
	if !ok {
		stub = make("http://" + string(a))
		s.known[a] = stub
	}
	return stub
}

// Withdraw implements relay.Agents.
func (c *Client) Withdraw(ctx context.Context, a graniteknot.Address, r *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	return c.Agent(a).Withdraw(ctx, r)
}

// Report implements relay.Agents.
func (c *Client) Report(ctx context.Context, a graniteknot.Address) (*wire.Load, error) {
	reply, err := c.Agent(a).Report(ctx, &wire.ReportRequest{})
	if err != nil {
		return nil, err
	}
	return reply.GetLoad(), nil
}

// Dispatch implements relay.Agents.
func (c *Client) Dispatch(ctx context.Context, a graniteknot.Address, d *wire.Dispatch) (relay.ChunkReader, error) {
	body, err := proto.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w: %w", graniteknot.ErrNotHandedOver, err)
	}
	url := "http://" + string(a) + DispatchPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w: %w", graniteknot.ErrNotHandedOver, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, handedOver("dispatch", err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, fmt.Errorf("dispatch: agent answered %s", response.Status)
	}
	return &chunkReader{body: response.Body, buffered: bufio.NewReader(response.Body)}, nil
}

// handedOver marks errors of a connection that was never made: nothing can
// have been sent over it.
func handedOver(op string, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fmt.Errorf("%s: %w: %w", op, graniteknot.ErrNotHandedOver, err)
	}
	return fmt.Errorf("%s: %w", op, err)
}

// chunkReader reads a streamed response.
type chunkReader struct {
	body     io.ReadCloser
	buffered *bufio.Reader
}

// Next implements relay.ChunkReader.
func (r *chunkReader) Next() (*wire.Chunk, error) {
	chunk := &wire.Chunk{}
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessage}
	if err := opts.UnmarshalFrom(r.buffered, chunk); err != nil {
		return nil, err
	}
	return chunk, nil
}

// Close implements relay.ChunkReader.
func (r *chunkReader) Close() { _ = r.body.Close() }
