package conns

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceClosed returns how long ago the replica's last packet arrived, which on a connection that it has closed is the
// one that closed it; false if the system does not tell.
func (c *Conn) SinceClosed() (time.Duration, bool) {
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	control := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if control != nil || err != nil {
		return 0, false
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}
