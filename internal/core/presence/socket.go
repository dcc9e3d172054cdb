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

// largest is the largest datagram that is read.
const largest = 2048

// Socket sends and takes datagrams. Make it with Listen.
type Socket struct {
	box  graniteknot.BoxName
	born graniteknot.Incarnation
	conn graniteknot.PacketConn
	// sequence counts the datagrams of this life.
	sequence atomic.Uint64
	// sent and received count bytes of datagrams.
	sent, received atomic.Uint64
	group          group.Group
	// asked are the own questions; answer answers others'.
	asked  asked
	answer atomic.Pointer[func(context.Context, QueryKind, []byte) ([]byte, error)]

	// odd tells of datagrams that can't be read.
	odd eventlog.Sparse

	mu sync.Mutex
	// parsed keeps addresses that were parsed.
	parsed map[graniteknot.Address]netip.AddrPort
}

// Listen opens a socket on the machine's own network and hands each datagram to take.
func Listen(ctx context.Context, a graniteknot.Address, box graniteknot.BoxName, born graniteknot.Incarnation, log *eventlog.Log, take func(*Message)) (*Socket, error) {
	conn, err := hostnet.Network{}.ListenPacket(ctx, a)
	if err != nil {
		return nil, err
	}
	return NewSocket(conn, box, born, log, take), nil
}

// NewSocket returns a socket that hands each datagram of a connection to take.
func NewSocket(conn graniteknot.PacketConn, box graniteknot.BoxName, born graniteknot.Incarnation, log *eventlog.Log, take func(*Message)) *Socket {
	s := &Socket{box: box, born: born, conn: conn, parsed: map[graniteknot.Address]netip.AddrPort{}}
	s.group.Go(func(context.Context) { s.read(log, take) })
	return s
}

func (s *Socket) read(log *eventlog.Log, take func(*Message)) {
	buffer := make([]byte, largest)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s.received.Add(uint64(n))
		m, err := decode(buffer[:n])
		if err != nil {
			s.odd.Warn(log, "malformed datagram", from.Addr().String(), err.Error())
			continue
		}
		switch {
		case m.Query != nil:
			s.respond(m.Query, from)
		case m.Reply != nil:
			s.asked.take(m.Reply)
		default:
			take(m)
		}
	}
}

// Send sends a message to some addresses. Datagrams may be lost, so a failure
// to send one is not told either.
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

// sendTo sends a message to where one came from.
func (s *Socket) sendTo(m Message, to netip.AddrPort) {
	b, err := s.encode(&m)
	if err != nil {
		return
	}
	s.sent.Add(uint64(len(b)))
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

// encode completes a message.
func (s *Socket) encode(m *Message) ([]byte, error) {
	m.Box, m.Incarnation, m.Sequence = s.box, s.born, s.sequence.Add(1)
	return encode(m)
}

func (s *Socket) parse(a graniteknot.Address) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.parsed[a]; ok {
		return found, true
	}
	parsed, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return parsed, false
	}
	s.parsed[a] = parsed
	return parsed, true
}

// Address is where the socket takes datagrams.
func (s *Socket) Address() graniteknot.Address {
	return graniteknot.Address(s.conn.LocalAddr().String())
}

// Bytes counts the bytes sent and received.
func (s *Socket) Bytes() (sent, received uint64) { return s.sent.Load(), s.received.Load() }

// Close closes the socket and waits for its reader.
func (s *Socket) Close() {
	_ = s.conn.Close()
	s.group.Stop()
}
