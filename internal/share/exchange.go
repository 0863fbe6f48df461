package share

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// wireReport is what instances send each other about accounts. Rows are grouped
// by service and customer to keep names from repeating.
type wireReport struct {
	// Rows holds service, customer and kind, with delivered units, waiting
	// and running requests.
	Rows map[string]map[string]map[string][3]float64 `json:"r,omitempty"`
	// Lags holds the virtual times of waiting customers over the lowest of
	// them. Only the reference instance sends them.
	Lags map[string]map[string]float64 `json:"l,omitempty"`
}

// MessageError reports a message that cannot be read.
type MessageError struct {
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("share: unreadable report: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Sent remembers what a peer was told, so that a report holds only changes. The
// zero value is ready for use and makes the first report complete.
type Sent struct {
	rows map[Key]Row
}

// Forget makes the next report complete.
func (s *Sent) Forget() { s.rows = nil }

// Rows returns this instance's own rows, ordered by key.
func (b *Book) Rows() []Row {
	var rows []Row
	for _, s := range b.services {
		for _, c := range s.customers {
			for _, a := range c.kinds {
				if a.delivered == 0 && a.waiting == 0 && a.running == 0 {
					continue
				}
				rows = append(rows, Row{Key: a.key, Delivered: math.Round(a.delivered), Waiting: a.waiting, Running: a.running})
			}
		}
	}
	slices.SortFunc(rows, func(x, y Row) int { return compareKeys(x.Key, y.Key) })
	return rows
}

func compareKeys(x, y Key) int {
	if c := strings.Compare(x.Service, y.Service); c != 0 {
		return c
	}
	if c := strings.Compare(x.Customer, y.Customer); c != 0 {
		return c
	}
	return strings.Compare(x.Kind, y.Kind)
}

// Report encodes the rows that changed since the last report to the same peer.
// With reference set it adds the lags. It returns nil if there is nothing to say.
func (b *Book) Report(sent *Sent, reference bool) json.RawMessage {
	report := wireReport{}
	if sent.rows == nil {
		sent.rows = map[Key]Row{}
	}
	for _, row := range b.Rows() {
		if sent.rows[row.Key] == row {
			continue
		}
		sent.rows[row.Key] = row
		report.add(row)
	}
	if reference {
		report.Lags = b.lags()
	}
	if report.Rows == nil && report.Lags == nil {
		return nil
	}
	data, err := json.Marshal(report)
	if err != nil {
		// Only finite numbers and strings are in it.
		panic(fmt.Sprintf("share: report does not encode: %v", err))
	}
	return data
}

func (r *wireReport) add(row Row) {
	if r.Rows == nil {
		r.Rows = map[string]map[string]map[string][3]float64{}
	}
	customers := r.Rows[row.Key.Service]
	if customers == nil {
		customers = map[string]map[string][3]float64{}
		r.Rows[row.Key.Service] = customers
	}
	kinds := customers[row.Key.Customer]
	if kinds == nil {
		kinds = map[string][3]float64{}
		customers[row.Key.Customer] = kinds
	}
	kinds[row.Key.Kind] = [3]float64{row.Delivered, float64(row.Waiting), float64(row.Running)}
}

func (b *Book) lags() map[string]map[string]float64 {
	var all map[string]map[string]float64
	for _, s := range b.services {
		lowest := s.lowestWaiting()
		for _, c := range s.customers {
			if c.waiting == 0 {
				continue
			}
			if all == nil {
				all = map[string]map[string]float64{}
			}
			if all[s.name] == nil {
				all[s.name] = map[string]float64{}
			}
			all[s.name][c.name] = math.Round(c.virtual - lowest)
		}
	}
	return all
}

func (s *service) lowestWaiting() float64 {
	lowest := math.Inf(1)
	for _, c := range s.customers {
		if c.waiting > 0 {
			lowest = math.Min(lowest, c.virtual)
		}
	}
	return lowest
}

// Merge takes in a peer's report. Rows merge by maximum of what was delivered,
// so repeated and reordered reports change nothing. A new incarnation starts
// its counters at zero.
func (b *Book) Merge(from string, incarnation uint32, data json.RawMessage, now time.Time) error {
	p, charge := b.peer(from, incarnation, now)
	if len(data) == 0 {
		return nil
	}
	report := wireReport{}
	if err := json.Unmarshal(data, &report); err != nil {
		return &MessageError{Cause: err}
	}
	for service, customers := range report.Rows {
		for customer, kinds := range customers {
			for kind, v := range kinds {
				row := Row{Key: Key{service, customer, kind}, Delivered: v[0], Waiting: count(v[1]), Running: count(v[2])}
				b.mergeRow(p, row, charge)
			}
		}
	}
	b.follow(report.Lags)
	return nil
}

func count(v float64) int {
	const most = 1 << 30
	if !(v > 0) {
		return 0
	}
	return int(math.Min(v, most))
}

// peer returns the record of a peer and whether what it delivered since its
// last report is to be charged.
func (b *Book) peer(name string, incarnation uint32, now time.Time) (*peer, bool) {
	p := b.peers[name]
	if p != nil && p.incarnation == incarnation {
		connected := now.Sub(p.heard) <= cutAfter
		p.heard = now
		return p, connected || b.PayBack
	}
	if p != nil {
		b.Silence(name)
	}
	restarted := p != nil
	p = &peer{incarnation: incarnation, heard: now, rows: map[Key]Row{}}
	b.peers[name] = p
	return p, restarted
}

func (b *Book) mergeRow(p *peer, row Row, charge bool) {
	s, c, a := b.account(row.Key)
	last := p.rows[row.Key]
	b.shift(s, c, a, row.Waiting-last.Waiting, row.Running-last.Running)
	if row.Delivered > last.Delivered {
		if charge {
			b.advance(c, a, row.Delivered-last.Delivered)
		}
	} else {
		row.Delivered = last.Delivered
	}
	p.rows[row.Key] = row
}

// Silence drops what a peer reported as waiting and running, because it is gone
// or restarted. What it delivered stays charged.
func (b *Book) Silence(name string) {
	p := b.peers[name]
	if p == nil {
		return
	}
	for key, last := range p.rows {
		s, c, a := b.account(key)
		b.shift(s, c, a, -last.Waiting, -last.Running)
		last.Waiting, last.Running = 0, 0
		p.rows[key] = last
	}
}

// follow moves the lags of waiting customers towards those of the reference
// instance. Instances that lifted a customer at different moments, or that were
// on different sides of a partition, come to agree by it.
func (b *Book) follow(all map[string]map[string]float64) {
	for name, lags := range all {
		s := b.service(name)
		lowest := s.lowestWaiting()
		if math.IsInf(lowest, 1) {
			continue
		}
		for customer, lag := range lags {
			c := s.customers[customer]
			if c == nil || c.waiting == 0 || lag < 0 {
				continue
			}
			c.virtual += lagBlend * (lowest + lag - c.virtual)
		}
	}
}

// PeerRows returns what a peer last reported, in no order.
func (b *Book) PeerRows(name string) []Row {
	p := b.peers[name]
	if p == nil {
		return nil
	}
	rows := make([]Row, 0, len(p.rows))
	for key, row := range p.rows {
		row.Key = key
		rows = append(rows, row)
	}
	return rows
}

// PeerWaits reports whether a peer has work waiting for a service.
func (b *Book) PeerWaits(name, service string) bool {
	p := b.peers[name]
	if p == nil {
		return false
	}
	for key, row := range p.rows {
		if key.Service == service && row.Waiting > 0 {
			return true
		}
	}
	return false
}

// Waiting returns the number of waiting requests that the peer was last told
// about an account.
func (s *Sent) Waiting(k Key) int { return s.rows[k].Waiting }
