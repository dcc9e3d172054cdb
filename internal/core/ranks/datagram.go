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

// The questions that sidecars ask each other by datagrams.
const (
	kindLook presence.Kind = 1
	kindGive presence.Kind = 2
	// The same of a part of a group.
	kindLookAll presence.Kind = 3
	kindGiveAll presence.Kind = 4
)

// DatagramClient asks another process by a datagram; presence.Socket is one.
type DatagramClient interface {
	Ask(ctx context.Context, to graniteknot.Address, kind presence.Kind, body []byte) ([]byte, error)
}

// datagramRanks makes the calls by datagramRanks that fit into one: on the small boxes
// of targets one costs a fraction of a call over HTTP, and a keeper makes
// hundreds a second. What does not fit goes over HTTP. A datagram that is lost
// looks like a sidecar that does not answer; the keeper asks again.
type datagramRanks struct {
	wire.Ranks
	client  DatagramClient
	address graniteknot.Address
}

// overDatagrams returns the calls of the sidecar at an address.
func overDatagrams(asker DatagramClient, to graniteknot.Address, http wire.Ranks) wire.Ranks {
	if asker == nil {
		return http
	}
	return &datagramRanks{Ranks: http, client: asker, address: to}
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

func (d *datagramRanks) call(ctx context.Context, kind presence.Kind, question, reply proto.Message) error {
	body, err := proto.Marshal(question)
	if err != nil {
		return err
	}
	answer, err := d.client.Ask(ctx, d.address, kind, body)
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, reply)
}

// ServeDatagram answers the questions of other sidecars; it is for presence.Socket's
// Respond.
func (d *Executor) ServeDatagram(ctx context.Context, kind presence.Kind, body []byte) ([]byte, error) {
	switch kind {
	case kindLook:
		return serveCall(ctx, body, &wire.LookRequest{}, d.Look)
	case kindGive:
		return serveCall(ctx, body, &wire.GiveRequest{}, d.Give)
	case kindLookAll:
		return serveCall(ctx, body, &wire.LookAllRequest{}, d.LookAll)
	case kindGiveAll:
		return serveCall(ctx, body, &wire.GiveAllRequest{}, d.GiveAll)
	}
	return nil, fmt.Errorf("a question of unknown kind %d", kind)
}

// serveCall makes a call whose request and reply are bodies of datagrams.
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
