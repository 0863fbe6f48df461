// Package budget limits the retries of all instances together to a fraction of the
// requests.
package budget

import (
	"math"
	"sync"
	"time"
)

// Budget limits retries, separately for each service. Every instance may make as many
// retries as its own requests earn, so the instances need not exchange messages about
// it. Exported fields must be set before the first call. It is safe for concurrent use.
// The zero value allows one retry per ten requests.
type Budget struct {
	// Ratio is the number of retries that one request earns; zero means 0.1.
	Ratio float64
	// Slack is the number of retries that all instances together may make in
	// addition to those earned.
	Slack float64
	// Instances returns the number of known instances; nil means one. Slack is
	// divided by the largest number ever returned, so that instances that lose
	// contact with each other do not spend it twice.
	Instances func() int
	// Window is the time over which retries are counted; zero means ten
	// seconds.
	Window time.Duration

	mu           sync.Mutex
	maxInstances int
	services     map[string]*account
}

// account is the retry budget of one service.
type account struct {
	balance float64 // in retries
	// requests is the exponentially decayed number of requests, of about the
	// last window.
	requests  float64
	updatedAt time.Time
}

const (
	defaultRatio  = 0.1
	defaultWindow = 10 * time.Second
	// slackFraction is the fraction of Slack that is handed out: some instances
	// may not be known yet.
	slackFraction = 0.5
	// minInstances is the least number of instances that Slack is divided by,
	// for an instance that has just started and does not know the others yet.
	minInstances = 4
	// burstFraction is the fraction of the retries earned by the requests of a
	// window that may be spent at once.
	burstFraction = 0.5
)

func (b *Budget) ratio() float64 {
	if b.Ratio == 0 {
		return defaultRatio
	}
	return b.Ratio
}

// account returns a service's account after decaying its request count. The caller holds
// the lock.
func (b *Budget) account(service string, now time.Time) *account {
	if b.services == nil {
		b.services = map[string]*account{}
	}
	a := b.services[service]
	if a == nil {
		a = &account{balance: b.localSlack(), updatedAt: now}
		b.services[service] = a
	}
	window := b.Window
	if window == 0 {
		window = defaultWindow
	}
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.requests *= math.Exp(-elapsed.Seconds() / window.Seconds())
		a.updatedAt = now
	}
	a.balance = min(a.balance, b.localSlack()+burstFraction*b.ratio()*a.requests)
	return a
}

// localSlack returns this instance's share of Slack. The caller holds the lock.
func (b *Budget) localSlack() float64 {
	b.maxInstances = max(b.maxInstances, minInstances)
	if b.Instances != nil {
		b.maxInstances = max(b.maxInstances, b.Instances())
	}
	return slackFraction * b.Slack / float64(b.maxInstances)
}

// Deposit records a new request for a service.
func (b *Budget) Deposit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.requests++
	a.balance = min(a.balance+b.ratio(), b.localSlack()+burstFraction*b.ratio()*a.requests)
}

// Withdraw takes one retry out of a service's budget. It returns false, and takes
// nothing, if less than one retry is left.
func (b *Budget) Withdraw(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	if a.balance < 1 {
		return false
	}
	a.balance--
	return true
}

// Remaining returns how many retries are left at this instance, by service.
func (b *Budget) Remaining(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := make(map[string]float64, len(b.services))
	for service := range b.services {
		remaining[service] = b.account(service, now).balance
	}
	return remaining
}
