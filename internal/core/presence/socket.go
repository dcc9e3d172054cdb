package presence

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/hostnet"
)

// maxDatagram is the size of the largest datagram that is read.
const maxDatagram = 2048

// Socket sends and receives datagrams. Create it with Listen or NewSocket.
type Socket struct {
	box         graniteknot.BoxName
	incarnation graniteknot.Incarnation
	conn        graniteknot.PacketConn
	// sequence counts the datagrams of this incarnation.
	sequence atomic.Uint64
	// sent and received count the bytes of datagrams.
	sent, received atomic.Uint64
	group          group.Group
	// pending are the own queries; queryHandler handles those of others.
	pending      pendingQueries
	queryHandler atomic.Pointer[func(context.Context, QueryKind, []byte) ([]byte, error)]

	// malformed logs datagrams that can't be decoded.
	malformed eventlog.Sparse

	mu sync.Mutex
	// parsedAddresses caches parsed addresses.
	parsedAddresses map[graniteknot.Address]netip.AddrPort
}

// Listen opens a socket on the host's network. It passes each message to handle, except
// queries and replies.
func Listen(ctx context.Context, a graniteknot.Address, box graniteknot.BoxName, incarnation graniteknot.Incarnation, log *eventlog.Log, handle func(*Message)) (*Socket, error) {
	conn, err := hostnet.Network{}.ListenPacket(ctx, a)
	if err != nil {
		return nil, err
	}
	return NewSocket(conn, box, incarnation, log, handle), nil
}

// NewSocket returns a socket on an open connection; see Listen.
func NewSocket(conn graniteknot.PacketConn, box graniteknot.BoxName, incarnation graniteknot.Incarnation, log *eventlog.Log, handle func(*Message)) *Socket {
	s := &Socket{box: box, incarnation: incarnation, conn: conn, parsedAddresses: map[graniteknot.Address]netip.AddrPort{}}
	s.group.Go(func(context.Context) { s.read(log, handle) })
	return s
}

func (s *Socket) read(log *eventlog.Log, handle func(*Message)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s.received.Add(uint64(n))
		m, err := decode(buffer[:n])
		if err != nil {
			s.malformed.Warn(log, "malformed datagram", from.Addr().String(), err.Error())
			continue
		}
		switch {
		case m.Query != nil:
			s.handleQuery(m.Query, from)
		case m.Reply != nil:
			if !s.pending.deliver(m.Reply, from) {
				s.malformed.Warn(log, "reply of another process", from.Addr().String(), "its query was sent to another address")
			}
		default:
			handle(m)
		}
	}
}

// Send sends a message to each address. Datagrams may be lost, so that send errors are not
// reported either.
func (s *Socket) Send(m Message, to []graniteknot.Address) {
	b, err := s.encode(&m)
	if err != nil {
		return
	}
	for _, a := range to {
		if address, ok := s.parse(a); ok {
			s.sent.Add(uint64(len(b)))
			_, _ = s.conn.WriteToUDPAddrPort(b, address)
		}
	}
}

// sendTo sends a message to a parsed address.
func (s *Socket) sendTo(m Message, to netip.AddrPort) {
	b, err := s.encode(&m)
	if err != nil {
		return
	}
	s.sent.Add(uint64(len(b)))
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

// encode sets the header fields of a message and encodes it.
func (s *Socket) encode(m *Message) ([]byte, error) {
	m.Box, m.Incarnation, m.Sequence = s.box, s.incarnation, s.sequence.Add(1)
	return encode(m)
}

func (s *Socket) parse(a graniteknot.Address) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.parsedAddresses[a]; ok {
		return found, true
	}
	parsed, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return parsed, false
	}
	s.parsedAddresses[a] = parsed
	return parsed, true
}

// Address returns the address on which the socket receives datagrams.
func (s *Socket) Address() graniteknot.Address {
	return graniteknot.Address(s.conn.LocalAddr().String())
}

// Bytes returns the number of bytes sent and received.
func (s *Socket) Bytes() (sent, received uint64) { return s.sent.Load(), s.received.Load() }

// Close closes the socket and waits for its goroutines.
func (s *Socket) Close() {
	_ = s.conn.Close()
	s.group.Stop()
}
