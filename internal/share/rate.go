package share

import "math"

// refundIdle takes back the charge for service that was delivered before the customer's
// requests began to wait, up to the amount by which its virtual time was raised then.
// The increase since the last report, which arrived at reportedAt (in seconds since the
// ledger's epoch), is assumed to be spread evenly over the interval.
func (l *Ledger) refundIdle(c *customer, increase, reportedAt float64) {
	if reportedAt >= c.waitingSince || l.now <= reportedAt {
		return
	}
	before := (c.waitingSince - reportedAt) / (l.now - reportedAt)
	refund := math.Min(increase*before/l.weight(c.name), c.raisedBy)
	c.virtualTime -= refund
	c.raisedBy -= refund
}

// deliveryRate is the rate at which a peer delivers service to an account.
type deliveryRate struct {
	rate       float64 // weighted units per second
	reportedAt float64 // time of the report, in seconds since the ledger's epoch
}

const (
	// minSampleSeconds is the shortest interval, in seconds, over which the service
	// rate of a slot is measured.
	minSampleSeconds = 0.2
	// slotRateSmoothing is the smoothing factor of one measurement of the slot rate.
	slotRateSmoothing = 0.02
)

// updateRates updates the estimated delivery rate of an account from its running
// requests, and the slot rate of the service from the increase of the account.
func (l *Ledger) updateRates(p *peer, s *service, c *customer, last, row Row, charge bool) {
	before, known := p.rates[row.Key]
	elapsed := l.now - before.reportedAt
	if known && charge && elapsed >= minSampleSeconds && last.Running > 0 && last.Running == row.Running {
		measured := (row.Delivered - last.Delivered) / elapsed / float64(row.Running)
		s.slotRate += slotRateSmoothing * (measured - s.slotRate)
	}
	next := deliveryRate{rate: float64(row.Running) * s.slotRate / l.weight(c.name), reportedAt: l.now}
	c.remoteRate += next.rate - before.rate
	c.remoteOffset += next.rate*next.reportedAt - before.rate*before.reportedAt
	p.rates[row.Key] = next
}

// dropRates removes the estimated delivery rates of a peer that has failed or restarted.
func (l *Ledger) dropRates(p *peer) {
	for k, f := range p.rates {
		_, c, _ := l.lookup(k)
		c.remoteRate -= f.rate
		c.remoteOffset -= f.rate * f.reportedAt
	}
	clear(p.rates)
}
