package bed2

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in of a server, which writes its record as the pages say. Exported fields are set before
// Start, and Serve handles its requests.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Store             *Store
	Serve             http.HandlerFunc
	Address           string // set by Start unless it is set before

	mu       sync.Mutex
	sequence int
	born     int64
	state    string
	http     *http.Server
	stop     chan struct{}
}

const heartbeat = 1200 * time.Millisecond

// Start starts the server and lists it.
func (s *Server) Start() error {
	address := s.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	s.state, s.sequence, s.born, s.stop = "ready", 0, time.Now().UnixMilli(), make(chan struct{})
	s.http = &http.Server{Handler: s.Serve, IdleTimeout: 15 * time.Second}
	go func() { _ = s.http.Serve(l) }() // ends at Crash
	s.Beat()
	go func(stop chan struct{}) {
		for {
			select {
			case <-time.After(heartbeat):
				s.Beat()
			case <-stop:
				return
			}
		}
	}(s.stop)
	return nil
}

// Beat writes the record and returns when the store acknowledged it.
func (s *Server) Beat() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.Store.Put(Wire.Topics["servers"], s.ID, Fill(Wire.Server, map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "slots": s.Slots, "state": s.state, "sequence": s.sequence, "born": s.born,
	}))
}

// Drain reports that the server leaves, and returns when the store acknowledged it.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.Beat()
}

// Crash ends the server and its connections. It writes nothing.
func (s *Server) Crash() {
	close(s.stop)
	_ = s.http.Close()
}
