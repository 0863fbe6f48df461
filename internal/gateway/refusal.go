package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
)

// refusalInterval is the least time between two log lines on refusals of one service: an
// overload refuses thousands of requests a second.
const refusalInterval = time.Second

// refusalLog logs refusals of requests that would wait too long, at most one of each service in
// refusalInterval, with the number of those before it. The zero value is ready to use.
type refusalLog struct {
	mu       sync.Mutex
	services map[string]*serviceRefusals
}

type serviceRefusals struct {
	count    int // since the last line
	loggedAt time.Time
}

// record counts the refusal of a request and logs it if the last line on its service is old enough.
func (l *refusalLog) record(c *call, bound string, now time.Time) {
	count, due := l.add(c.service, now)
	if !due {
		return
	}
	c.h.Logger.Info(event.Refusals, zap.String("service", c.service), zap.Int("count", count), zap.String("customer", c.customer),
		zap.String("bound", bound), zap.Duration("wait", c.choice.Wait), zap.Duration("least", c.choice.LeastWait),
		zap.Duration("limit", c.maxWait), zap.Float64("pressure", c.choice.Pressure), zap.Int("usable", c.choice.Usable))
}

// add counts a refusal and reports whether a line is due, and how many refusals it covers.
func (l *refusalLog) add(service string, now time.Time) (count int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = map[string]*serviceRefusals{}
	}
	s := l.services[service]
	if s == nil {
		s = &serviceRefusals{}
		l.services[service] = s
	}
	s.count++
	if now.Sub(s.loggedAt) < refusalInterval {
		return 0, false
	}
	count, s.count, s.loggedAt = s.count, 0, now
	return count, true
}
