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
	askLook presence.QueryKind = 1
	askGive presence.QueryKind = 2
	// The same of a part of a group.
	askLookAll presence.QueryKind = 3
	askGiveAll presence.QueryKind = 4
)

// DatagramClient asks another process by a datagram; presence.Socket is one.
type DatagramClient interface {
	Ask(ctx context.Context, to graniteknot.Address, kind presence.QueryKind, body []byte) ([]byte, error)
}

// datagrams makes the calls by datagrams that fit into one: on the small boxes
// of targets one costs a fraction of a call over HTTP, and a keeper makes
// hundreds a second. What does not fit goes over HTTP. A datagram that is lost
// looks like a sidecar that does not answer; the keeper asks again.
type datagrams struct {
	wire.Ranks
	asker DatagramClient
	to    graniteknot.Address
}

// byDatagrams returns the calls of the sidecar at an address.
func byDatagrams(asker DatagramClient, to graniteknot.Address, http wire.Ranks) wire.Ranks {
	if asker == nil {
		return http
	}
	return &datagrams{Ranks: http, asker: asker, to: to}
}

// Look implements wire.Ranks.
func (d *datagrams) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	reply := &wire.LookReply{}
	if r.GetLists() {
		return d.Ranks.Look(ctx, r)
	}
	err := d.ask(ctx, askLook, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.Look(ctx, r)
	}
	return reply, err
}

// Give implements wire.Ranks.
func (d *datagrams) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	reply := &wire.GiveReply{}
	err := d.ask(ctx, askGive, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.Give(ctx, r)
	}
	return reply, err
}

// LookAll implements wire.Ranks.
func (d *datagrams) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	reply := &wire.LookAllReply{}
	if r.GetLook().GetLists() {
		return d.Ranks.LookAll(ctx, r)
	}
	err := d.ask(ctx, askLookAll, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.LookAll(ctx, r)
	}
	return reply, err
}

// GiveAll implements wire.Ranks.
func (d *datagrams) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	reply := &wire.GiveAllReply{}
	err := d.ask(ctx, askGiveAll, r, reply)
	if errors.Is(err, presence.ErrTooLarge) {
		return d.Ranks.GiveAll(ctx, r)
	}
	return reply, err
}

func (d *datagrams) ask(ctx context.Context, kind presence.QueryKind, question, reply proto.Message) error {
	body, err := proto.Marshal(question)
	if err != nil {
		return err
	}
	answer, err := d.asker.Ask(ctx, d.to, kind, body)
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, reply)
}

// ServeDatagram answers the questions of other sidecars; it is for presence.Socket's
// Respond.
func (d *Executor) ServeDatagram(ctx context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
	switch kind {
	case askLook:
		return respond(ctx, body, &wire.LookRequest{}, d.Look)
	case askGive:
		return respond(ctx, body, &wire.GiveRequest{}, d.Give)
	case askLookAll:
		return respond(ctx, body, &wire.LookAllRequest{}, d.LookAll)
	case askGiveAll:
		return respond(ctx, body, &wire.GiveAllRequest{}, d.GiveAll)
	}
	return nil, fmt.Errorf("a question of unknown kind %d", kind)
}

// respond makes a call whose request and reply are bodies of datagrams.
func respond[Q, R proto.Message](ctx context.Context, body []byte, request Q, call func(context.Context, Q) (R, error)) ([]byte, error) {
	if err := proto.Unmarshal(body, request); err != nil {
		return nil, err
	}
	reply, err := call(ctx, request)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(reply)
}
