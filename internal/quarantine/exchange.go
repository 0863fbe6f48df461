package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// maxReports bounds the reports that are kept for peers, maxReportsPerMessage those in
	// one message.
	maxReports           = 1024
	maxReportsPerMessage = 64
	// maxOutboxSignatures bounds the signatures of the reports that are kept for peers,
	// maxMessageSignatures those of the reports in one message after the first one.
	maxOutboxSignatures  = 1 << 18
	maxMessageSignatures = 1 << 13
	// maxSignatures bounds the signatures of a report: there are more than a request can have,
	// whose parts take at least four bytes each in a header of up to 16 KiB.
	maxSignatures = 1 << 13
)

// report tells peers of a suspect, or of signatures with which requests were answered.
type report struct {
	suspect  fleet.Suspect // without an endpoint if the report is about answers
	answered []uint64
	at       time.Time // of the crash or the answers
	own      bool      // observed by this instance, rather than learned from a peer
	restored bool      // its times are known from the storage only
}

// outbox keeps reports for peers, in the order in which they were added.
type outbox struct {
	reports []report
	size    int // number of signatures in them
	removed int // number of reports removed from the front
	peers   map[string]*delivery
}

// delivery is what one peer has received.
type delivery struct {
	// delivered is the number of reports up to the newest one that it has received.
	delivered int
	// behind is set while it lacks reports that this instance learned from peers: since it
	// has just started, its other peers may have sent them to it before.
	behind bool
}

// wireReport is a report in a message. Times are durations, since clocks of instances differ.
type wireReport struct {
	Endpoint   string         `json:"endpoint,omitempty"`
	Request    string         `json:"request,omitempty"`
	Progress   fleet.Progress `json:"progress,omitempty"`
	Signatures []uint64       `json:"signatures"`
	// Age is the time since the crash or the answers, Sent the time since the request was
	// sent to the endpoint.
	Age  time.Duration `json:"age"`
	Sent time.Duration `json:"sent,omitempty"`
	// Restored is set if both are known from the storage only.
	Restored bool `json:"restored,omitempty"`
}

func (o *outbox) add(r report) {
	o.reports = append(o.reports, r)
	o.size += r.size()
	excess := max(len(o.reports)-maxReports, 0)
	for _, old := range o.reports[:excess] {
		o.size -= old.size()
	}
	for excess < len(o.reports)-1 && o.size > maxOutboxSignatures {
		o.size -= o.reports[excess].size()
		excess++
	}
	o.reports = slices.Delete(o.reports, 0, excess)
	o.removed += excess
}

// size returns the number of signatures in the report.
func (r report) size() int { return len(r.suspect.Signatures) + len(r.answered) }

func (o *outbox) delivery(peer string) *delivery {
	if o.peers == nil {
		o.peers = map[string]*delivery{}
	}
	d := o.peers[peer]
	if d == nil {
		d = &delivery{behind: true}
		o.peers[peer] = d
	}
	return d
}

// Compose returns the encoded reports that the peer has not received, or nil if there are
// none, and a function to call once they have arrived. Reports that this instance learned from
// others are included if relay is set or the peer has just started.
func (l *List) Compose(peer string, relay bool) (data json.RawMessage, delivered func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.outbox.delivery(peer)
	position := max(d.delivered, l.outbox.removed)
	now := time.Now()
	var unsent []wireReport
	size := 0
	for _, r := range l.outbox.reports[position-l.outbox.removed:] {
		send := (r.own || relay || d.behind) && now.Sub(r.at) < crashRetention
		if send && len(unsent) > 0 && (len(unsent) == maxReportsPerMessage || size+r.size() > maxMessageSignatures) {
			break
		}
		position++
		if send {
			unsent = append(unsent, r.encode(now))
			size += r.size()
		}
	}
	delivered = func() { l.recordDelivery(d, position) }
	if len(unsent) == 0 {
		return nil, delivered
	}
	data, err := json.Marshal(unsent)
	if err != nil {
		panic(err) // strings, numbers and durations can be encoded
	}
	return data, delivered
}

// Pending reports whether there are reports that the peer has not received.
func (l *List) Pending(peer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outbox.delivery(peer).delivered < l.outbox.removed+len(l.outbox.reports)
}

// recordDelivery records that a peer has received the reports up to a position.
func (l *List) recordDelivery(d *delivery, position int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.delivered = max(d.delivered, position)
	if d.delivered >= l.outbox.removed+len(l.outbox.reports) {
		d.behind = false
	}
}

func (r report) encode(now time.Time) wireReport {
	if r.suspect.Endpoint == "" {
		return wireReport{Signatures: r.answered, Age: now.Sub(r.at)}
	}
	s := r.suspect
	return wireReport{
		Endpoint: s.Endpoint, Request: s.Request, Progress: s.Progress, Signatures: s.Signatures,
		Age: now.Sub(s.Broken), Sent: now.Sub(s.Sent), Restored: r.restored,
	}
}

// valid reports whether the report can be used.
func (r wireReport) valid() bool {
	return r.Age >= 0 && r.Age <= crashRetention && r.Sent >= 0 && len(r.Signatures) > 0 && len(r.Signatures) <= maxSignatures
}

// suspect returns the suspect of a report that is not about answers.
func (r wireReport) suspect(now time.Time) fleet.Suspect {
	return fleet.Suspect{
		Endpoint: r.Endpoint, Request: r.Request, Signatures: r.Signatures, Progress: r.Progress,
		Sent: now.Add(-r.Sent), Broken: now.Add(-r.Age),
	}
}

// Restarted records that a peer has restarted and lost its state: the next messages to it
// carry everything that this instance knows.
func (l *List) Restarted(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.outbox.peers, peer)
}

// Receive adds the crashes and answers that a peer reports. It returns an error if they
// cannot be decoded.
func (l *List) Receive(data json.RawMessage) error {
	var reports []wireReport
	if err := json.Unmarshal(data, &reports); err != nil {
		return fmt.Errorf("quarantine: unreadable crashes: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range reports {
		switch {
		case !r.valid():
		case r.Endpoint == "":
			l.receiveAnswers(r.Signatures, now.Add(-r.Age))
		case r.Restored:
			l.addSuspect(r.suspect(now), sourceStorage, now)
		default:
			l.addSuspect(r.suspect(now), sourcePeer, now)
		}
	}
	l.review(now)
	return nil
}

// receiveAnswers records that another instance saw answers to requests with the signatures.
func (l *List) receiveAnswers(signatures []uint64, at time.Time) {
	var cleared []uint64
	for _, s := range signatures {
		if l.lastAnswer(s).Before(at) {
			l.answered.Add(s, at)
		}
		if l.evidence.answer(s, at) {
			cleared = append(cleared, s)
		}
	}
	if len(cleared) > 0 {
		l.outbox.add(report{answered: cleared, at: at})
		l.changed = true
	}
}
