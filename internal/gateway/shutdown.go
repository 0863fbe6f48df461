package gateway

import "time"

// ShutdownTimes defines until when a handler that is shutting down accepts requests.
type ShutdownTimes struct {
	// RefuseStreams is the time after which new streams are refused, earlier than
	// other requests because streams may take long. From then on, other requests are
	// refused, too, if they may take until End, at which the process ends those that are
	// left: their time limit is later, or they have none. RefuseAll is the time after which
	// all new requests are refused.
	RefuseStreams, RefuseAll, End time.Time
}

// refuses reports whether a request is refused that arrives at a time, and has to be answered until
// limit after that; zero means that it has no limit.
func (s *ShutdownTimes) refuses(stream bool, arrived time.Time, limit time.Duration) bool {
	if arrived.After(s.RefuseAll) {
		return true
	}
	return arrived.After(s.RefuseStreams) && (stream || limit == 0 || arrived.Add(limit).After(s.End))
}

// Stop starts a graceful shutdown: every response to a request that arrives from now
// on closes its connection, and new requests are refused after the given times.
func (h *Handler) Stop(s ShutdownTimes) { h.stopping.Store(&s) }
