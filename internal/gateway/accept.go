package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// bodyTimeout bounds the reading of a request body.
const bodyTimeout = 10 * time.Second

// accept checks everything that does not depend on endpoints.
func (c *call) accept() bool {
	if c.h.Strain != nil && rand.Float64() < c.h.Strain.RejectFraction() {
		c.w.Header().Set("Connection", "close")
		c.refuse(fleet.ReasonStrained)
		return false
	}
	c.edition = c.h.edition.Load()
	if c.edition == nil {
		c.refuse(fleet.ReasonNotReady)
		return false
	}
	if !c.match() {
		return false
	}
	if s := c.h.stopping.Load(); s != nil && (c.arrived.After(s.Calls) || c.route.Stream && c.arrived.After(s.Streams)) {
		c.refuse(fleet.ReasonStopping)
		return false
	}
	return c.read() && !c.held()
}

// match finds the route, the customer and the service.
func (c *call) match() bool {
	route, ok := c.edition.routes.Find(c.r.Host, c.r.URL.Path)
	if !ok {
		c.reject(http.StatusNotFound, "no-route")
		return false
	}
	c.route = route
	if !route.Public && !c.edition.open {
		if c.customer, ok = c.edition.customers[c.ask.Key]; !ok || c.ask.Key == "" {
			c.reject(http.StatusUnauthorized, "unknown-customer")
			return false
		}
	}
	if c.service = pick(route.To); c.service == "" {
		c.refuse(fleet.ReasonNoEndpoint)
		return false
	}
	return true
}

// pick draws one of a route's services by weight.
func pick(to []arrangement.Target) string {
	total := 0.0
	for _, t := range to {
		total += t.Weight
	}
	draw := rand.Float64() * total
	for _, t := range to {
		if draw -= t.Weight; draw < 0 {
			return t.Service
		}
	}
	if len(to) == 0 {
		return ""
	}
	return to[len(to)-1].Service
}

func (c *call) read() bool {
	if c.r.ContentLength > c.edition.limits.Body {
		c.reject(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return true
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.edition.limits.Body))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.reject(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		c.reject(http.StatusRequestTimeout, "slow-body")
		return false
	}
	if err != nil {
		c.end(0, "left", "body not read")
		panic(http.ErrAbortHandler)
	}
	c.body = body
	return true
}

// held refuses a request that has crashed endpoints before.
func (c *call) held() bool {
	if c.h.Quarantine == nil {
		return false
	}
	d := xxhash.New()
	for _, part := range []string{c.customer, c.r.Method, c.r.Host, c.r.RequestURI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	c.print = strconv.FormatUint(d.Sum64(), 16)
	if !c.h.Quarantine.Held(c.print) {
		return false
	}
	c.refuse(fleet.ReasonQuarantine)
	return true
}

// context ends when the caller leaves and when the answer has to be final.
func (c *call) context() (context.Context, context.CancelFunc) {
	for _, d := range []time.Duration{c.ask.Wait, c.route.Bound()} {
		if at := c.arrived.Add(d); d > 0 && (c.until.IsZero() || at.Before(c.until)) {
			c.until = at
		}
	}
	if c.until.IsZero() {
		return context.WithCancel(c.r.Context())
	}
	return context.WithDeadline(c.r.Context(), c.until)
}

func (c *call) left() time.Duration {
	if c.until.IsZero() {
		return c.ask.Wait
	}
	return max(time.Until(c.until), time.Millisecond)
}

// tokens is what the request is counted as: each token read once, each one
// generated twice.
func (c *call) tokens() float64 {
	out := c.ask.Hint
	if out == 0 {
		out = c.ask.Output / 2
	}
	return float64(c.ask.Input + 2*out)
}
