// Package connection makes TCP connections that drop what is left to send when they are closed, and that report a reset to
// their readers.
package connection

import (
	"context"
	"net"
)

// Dial connects to an address, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ResetOnClose returns a dial function whose TCP connections are closed with a reset. After a
// usual close the kernel goes on sending what the peer has not acknowledged, so that a message
// could arrive long after its sender has given it up. The connections also report resets as those of ReportReset do.
func ResetOnClose(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if t, ok := c.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = t.SetLinger(0)
		}
		return reportReset(c)
	}
}
