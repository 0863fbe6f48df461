package upstream

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// deliveryTimeout is how long the endpoint's host may leave the same bytes of a request
	// unacknowledged until the request is given up: the path to it is lost. A path may be
	// lost, and an endpoint silent, for a second or so.
	deliveryTimeout       = 1600 * time.Millisecond
	deliveryCheckInterval = 150 * time.Millisecond
)

var errNotDelivered = errors.New("endpoint did not acknowledge the request in time")

// deliveryWatch aborts an exchange whose request makes no progress. The kernel's own time limits
// would not do: they end the connection without dropping what is left to send.
type deliveryWatch struct {
	answer *Answer

	mu      sync.Mutex
	timer   *time.Timer // nil once the watch has stopped
	pending int         // unacknowledged bytes at the last check
	since   time.Time   // when a check first found this many
}

func (a *Answer) watchDelivery() *deliveryWatch {
	w := &deliveryWatch{answer: a}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(deliveryCheckInterval, w.check)
	return w
}

func (w *deliveryWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	now, pending := time.Now(), w.answer.conn.unacknowledged()
	if pending == 0 || pending != w.pending {
		w.pending, w.since = pending, now
	}
	if pending > 0 && now.Sub(w.since) >= deliveryTimeout {
		w.answer.notDelivered.Store(true)
		w.answer.Abandon()
		return
	}
	w.timer.Reset(deliveryCheckInterval)
}

func (w *deliveryWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}

// acknowledger is a connection that knows how many bytes its peer has not acknowledged.
type acknowledger interface {
	Unacknowledged() int
}

// unacknowledged returns how many bytes wait to be acknowledged by the endpoint's host, or zero if
// all that were sent are: bytes that the endpoint leaves no room for do not count. It is zero if
// the connection does not tell.
func (c *conn) unacknowledged() int {
	if a, ok := c.netConn.(acknowledger); ok {
		return a.Unacknowledged()
	}
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.Unacked == 0 {
			return
		}
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return n
}
