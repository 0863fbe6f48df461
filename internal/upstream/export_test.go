package upstream

import "net"

// Unacknowledged returns how many bytes wait to be acknowledged by the endpoint's host.
func (a *Answer) Unacknowledged() int { return a.conn.unacknowledged() }

// Queued returns how many bytes a connection still holds for its other side.
func Queued(c net.Conn) int { return (&conn{netConn: c}).queued() }
