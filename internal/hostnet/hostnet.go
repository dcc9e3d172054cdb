// Package hostnet opens addresses on the machine's own network, over IPv4.
package hostnet

import (
	"context"
	"fmt"
	"net"

	graniteknot "graniteknot.org/go"
)

// Network implements graniteknot.Network. The zero value works.
type Network struct{}

// Listen implements graniteknot.Network.
func (Network) Listen(ctx context.Context, a graniteknot.Address) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp4", string(a))
}

// ListenPacket implements graniteknot.Network.
func (Network) ListenPacket(ctx context.Context, a graniteknot.Address) (graniteknot.PacketConn, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", string(a))
	if err != nil {
		return nil, err
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("listen %s: %T is no UDP socket", a, conn)
	}
	return udp, nil
}
