package ranks

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/wire"
)

// Datagram kinds of the calls between sidecars.
const (
	kindLook presence.QueryKind = 1
	kindGive presence.QueryKind = 2
	// Calls that the receiver relays to a subtree.
	kindLookAll presence.QueryKind = 3
	kindGiveAll presence.QueryKind = 4
)

// DatagramClient sends a request to another process in a datagram and returns its reply;
// presence.Socket implements it.
type DatagramClient interface {
	Ask(ctx context.Context, address graniteknot.Address, kind presence.QueryKind, body []byte) ([]byte, error)
}

// datagramRanks sends calls in datagrams. On the small boxes of targets a datagram costs a
// fraction of an HTTP call, and a coordinator makes hundreds of calls a second. A message
// that does not fit into a datagram goes over HTTP. A lost datagram looks like an
// unresponsive sidecar; the coordinator retries.
type datagramRanks struct {
	wire.Ranks
	client  DatagramClient
	address graniteknot.Address
}

// overDatagrams returns a client for the sidecar at an address, which falls back to http. A
// nil datagram client uses http only.
func overDatagrams(client DatagramClient, address graniteknot.Address, http wire.Ranks) wire.Ranks {
	if client == nil {
		return http
	}
	return &datagramRanks{Ranks: http, client: client, address: address}
}

// Look implements wire.Ranks.
func (d *datagramRanks) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	reply := &wire.LookReply{}
	if r.GetLists() {
		return d.Ranks.Look(ctx, r)
	}
	err := d.call(ctx, kindLook, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.Look(ctx, r)
	}
	return reply, err
}

// Give implements wire.Ranks.
func (d *datagramRanks) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	reply := &wire.GiveReply{}
	err := d.call(ctx, kindGive, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.Give(ctx, r)
	}
	return reply, err
}

// LookAll implements wire.Ranks.
func (d *datagramRanks) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	reply := &wire.LookAllReply{}
	if r.GetLook().GetLists() {
		return d.Ranks.LookAll(ctx, r)
	}
	err := d.call(ctx, kindLookAll, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.LookAll(ctx, r)
	}
	return reply, err
}

// GiveAll implements wire.Ranks.
func (d *datagramRanks) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	reply := &wire.GiveAllReply{}
	err := d.call(ctx, kindGiveAll, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.GiveAll(ctx, r)
	}
	return reply, err
}

func (d *datagramRanks) call(ctx context.Context, kind presence.QueryKind, request, reply proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	response, err := d.client.Ask(ctx, d.address, kind, body)
	if err != nil {
		return err
	}
	return proto.Unmarshal(response, reply)
}

// ServeDatagram handles a call from another sidecar. It is registered with
// presence.Socket's Respond.
func (e *Executor) ServeDatagram(ctx context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
	switch kind {
	case kindLook:
		return serveCall(ctx, body, &wire.LookRequest{}, e.Look)
	case kindGive:
		return serveCall(ctx, body, &wire.GiveRequest{}, e.Give)
	case kindLookAll:
		return serveCall(ctx, body, &wire.LookAllRequest{}, e.LookAll)
	case kindGiveAll:
		return serveCall(ctx, body, &wire.GiveAllRequest{}, e.GiveAll)
	}
	return nil, fmt.Errorf("unknown datagram kind %d", kind)
}

// serveCall decodes a request from a datagram, makes the call and encodes its reply.
func serveCall[Q, R proto.Message](ctx context.Context, body []byte, request Q, call func(context.Context, Q) (R, error)) ([]byte, error) {
	if err := proto.Unmarshal(body, request); err != nil {
		return nil, err
	}
	reply, err := call(ctx, request)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(reply)
}
