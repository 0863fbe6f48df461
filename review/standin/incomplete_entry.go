package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["incomplete-entry"] = incompleteEntry }

const (
	// calm is how long nothing happens after the start: longer than stableMs.
	calm = 4 * time.Second
	// trafficTime is how long the clients send requests, entryAfter when the other writer
	// writes its entry.
	trafficTime    = 6 * time.Second
	entryAfter     = 2 * time.Second
	streamClients  = 24
	shortPath      = "/stream/3"
	streamDeadline = 12 * time.Second
)

// incompleteEntry lets another writer write an entry in which fields are missing. It names no
// server to use. It has the ID and the address of a server of one service and the name of the
// other service, whose requests must not run there.
func incompleteEntry(s *scene) ([]string, error) {
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(calm)
	named := s.servers[slices.IndexFunc(s.servers, func(v *server) bool { return v.service == "portal" })]
	var (
		mu      sync.Mutex
		results []result
		all     sync.WaitGroup
	)
	end := time.Now().Add(trafficTime)
	for n := range streamClients {
		all.Go(func() {
			c := newClient(s.record)
			for time.Now().Before(end) {
				r := c.call(s.instances[n%len(s.instances)].front, "POST", shortPath, "question", streamDeadline)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(entryAfter)
	if s.trouble {
		entry := maps.Clone(names.IncompleteEntry)
		entry["service"], entry["address"], entry["zone"] = "model", named.address, named.zone
		data, err := json.Marshal(entry)
		if err != nil {
			return nil, err
		}
		s.store.put(names.ServerTopic, named.id, data)
		s.record.note("another writer writes the entry %s: %s", named.id, data)
	}
	all.Wait()
	var broken []string
	served := 0
	for _, r := range results {
		if r.whole() {
			served++
		}
		for _, v := range s.servers {
			if v.service != "model" && strings.HasPrefix(r.path, "/stream/") && s.record.has("server %s runs %s", v.id, r.id) {
				broken = append(broken, fmt.Sprintf("ROUTE: %s on %s was run by %s of service %s, and every version sends it to service model only: %v", r.id, r.path, v.id, v.service, r))
			}
		}
	}
	if served < len(results)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return broken, nil
}
