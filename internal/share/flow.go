package share

import "math"

// cover takes back the charge for service from before the customer's work began to
// wait, as far as the customer was lifted then. What grew since the last report is
// taken to have grown evenly.
func (b *Book) cover(c *customer, grown, reported float64) {
	if reported >= c.since || b.now <= reported {
		return
	}
	before := (c.since - reported) / (b.now - reported)
	covered := math.Min(grown*before/b.weight(c.name), c.lifted)
	c.virtual -= covered
	c.lifted -= covered
}

// flow is the rate at which a peer delivers service to an account.
type flow struct {
	rate float64 // weighted units a second
	at   float64 // time of the report, in seconds since the book's epoch
}

const (
	// minFlowTime is the shortest time, in seconds, over which the service of a
	// slot is measured.
	minFlowTime = 0.2
	// paceBlend is the weight of one measurement of the service of a slot.
	paceBlend = 0.02
)

// observe updates the estimated rate of an account from what runs there, and the
// service of a slot from what the account grew by.
func (b *Book) observe(p *peer, s *service, c *customer, last, row Row, charge bool) {
	before, known := p.flows[row.Key]
	dt := b.now - before.at
	if known && charge && dt >= minFlowTime && last.Running > 0 && last.Running == row.Running {
		pace := (row.Delivered - last.Delivered) / dt / float64(row.Running)
		s.pace += paceBlend * (pace - s.pace)
	}
	next := flow{rate: float64(row.Running) * s.pace / b.weight(c.name), at: b.now}
	c.flow += next.rate - before.rate
	c.base += next.rate*next.at - before.rate*before.at
	p.flows[row.Key] = next
}

// still ends the estimated rates of a peer that is gone.
func (b *Book) still(p *peer) {
	for k, f := range p.flows {
		_, c, _ := b.account(k)
		c.flow -= f.rate
		c.base -= f.rate * f.at
	}
	clear(p.flows)
}
