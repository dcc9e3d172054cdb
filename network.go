package graniteknot

import (
	"context"
	"net"
	"net/netip"
)

// Network opens the addresses of a box.
type Network interface {
	// Listen takes connections at an address.
	Listen(ctx context.Context, a Address) (net.Listener, error)
	// ListenPacket takes datagrams at an address.
	ListenPacket(ctx context.Context, a Address) (PacketConn, error)
}

// PacketConn sends and takes datagrams, which may be lost. A *net.UDPConn is one.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}
