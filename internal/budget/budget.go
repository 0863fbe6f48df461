// Package budget bounds the retries of the fleet to a part of its requests.
package budget

import (
	"math"
	"sync"
	"time"
)

// Budget bounds retries, for each service apart: every instance may retry as much as
// its own requests earn, so no message is needed. Exported fields are set before the
// first call. It is safe for concurrent use. The zero value allows a tenth of the
// requests.
type Budget struct {
	// Ratio is the number of retries that one request earns; zero means 0.1.
	Ratio float64
	// Slack is the number of retries that all instances together may make
	// beyond that.
	Slack float64
	// Instances returns how many instances are known; nil means one. The most
	// that were ever known share Spare, so that instances which do not hear
	// each other do not spend it twice.
	Instances func() int
	// Window is the time over which retries are counted; zero means ten
	// seconds.
	Window time.Duration

	mu       sync.Mutex
	most     int
	services map[string]*account
}

// account is what a service has saved.
type account struct {
	saved float64
	// requests counts those of about the last window.
	requests float64
	at       time.Time
}

const (
	defaultPart   = 0.1
	defaultWindow = 10 * time.Second
	// sparePart is the part of Spare that is handed out: some instances may not
	// be known yet.
	sparePart = 0.5
	// fewInstances is the least number of instances that Spare is divided by,
	// for one that has just started and has heard of nobody.
	fewInstances = 4
	// burstPart is the part of what the requests of a window earn that may be
	// spent at once.
	burstPart = 0.5
)

func (b *Budget) part() float64 {
	if b.Ratio == 0 {
		return defaultPart
	}
	return b.Ratio
}

// account returns a service's account, brought up to date. The lock is held.
func (b *Budget) account(service string, now time.Time) *account {
	if b.services == nil {
		b.services = map[string]*account{}
	}
	a := b.services[service]
	if a == nil {
		a = &account{saved: b.share(), at: now}
		b.services[service] = a
	}
	window := b.Window
	if window == 0 {
		window = defaultWindow
	}
	if gone := now.Sub(a.at); gone > 0 {
		a.requests *= math.Exp(-gone.Seconds() / window.Seconds())
		a.at = now
	}
	a.saved = min(a.saved, b.share()+burstPart*b.part()*a.requests)
	return a
}

// share returns the part of Spare that is this instance's. The lock is held.
func (b *Budget) share() float64 {
	b.most = max(b.most, fewInstances)
	if b.Instances != nil {
		b.most = max(b.most, b.Instances())
	}
	return sparePart * b.Slack / float64(b.most)
}

// Deposit records a new request for a service.
func (b *Budget) Deposit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.requests++
	a.saved = min(a.saved+b.part(), b.share()+burstPart*b.part()*a.requests)
}

// Withdraw takes a retry out of a service's budget. It returns false if it is spent.
func (b *Budget) Withdraw(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}

// Remaining returns how many retries are saved, by service.
func (b *Budget) Remaining(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[string]float64, len(b.services))
	for service := range b.services {
		left[service] = b.account(service, now).saved
	}
	return left
}
