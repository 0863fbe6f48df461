package entry

import (
	"time"

	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/watch"
)

// gauges returns the current values of the instance's metrics.
func (i *Instance) gauges() map[string]float64 {
	now := time.Now()
	load := i.load()
	values := map[string]float64{
		"configuration_version": float64(i.handler.Version()),
		"requests_active":       float64(i.handler.Active()),
		"peers_heard":           float64(i.peers.Peers(now)),
		"callers_moved":         float64(i.relief.Moved()),
		"processor_share":       load.Share,
		"processor_demand":      load.Demand,
		"processor_limit":       load.Limit,
		"processor_ceiling":     load.Ceiling,
		"lag_milliseconds":      float64(i.lagMeter.Lag().Milliseconds()),
		"log_lines_dropped":     float64(i.Log.DroppedLines()),
		"body_bytes":            float64(i.handler.Backlog.Bodies()),
		"unread_bytes":          float64(i.handler.Backlog.Unread()),
		"caller_connections":    float64(i.idleConns.openCount()),
		"platform_calls_away":   0,
		"quarantine_rules":      float64(i.peers.Crashes.Size()),
	}
	for name, f := range map[string]watch.Relay{"operators": i.operators, "endpoints": i.endpoints} {
		values[gauge.Name("feed_age_milliseconds", "feed", name)] = float64(f.Position(now).Age)
		if f.Unreachable() {
			values["platform_calls_away"]++
		}
	}
	granted, refused := i.peers.Starts()
	values[gauge.Name("starts_total", "answer", "granted")] = float64(granted)
	values[gauge.Name("starts_total", "answer", "refused")] = float64(refused)
	for service, left := range i.handler.Budget.Remaining(now) {
		values[gauge.Name("retry_budget_left", "service", service)] = left
	}
	for service, c := range i.balancer.Services(now) {
		for state, n := range map[string]int{
			"listed": c.Listed, "leaving": c.Leaving, "evacuated": c.Evacuated, "quiet": c.Quiet, "down": c.Down, "cold": c.Cold, "silent": c.Stalled,
		} {
			values[gauge.Name("endpoints", "service", service, "state", state)] = float64(n)
		}
		values[gauge.Name("runs", "service", service)] = c.Runs
		values[gauge.Name("slots", "service", service)] = c.Slots
	}
	for _, e := range i.evacuations.List() {
		values[gauge.Name("evacuation_last_send_seconds", "domain", e.Domain)] = max(0, i.balancer.LastSend(e.Domain).Sub(e.Since).Seconds())
	}
	for customer, u := range i.ledger.LocalUsage(now) {
		values[gauge.Name("customer_asked_tokens_per_second", "customer", customer)] = u.Demand
		values[gauge.Name("customer_served_tokens_per_second", "customer", customer)] = u.Served
		values[gauge.Name("customer_share", "customer", customer)] = i.ledger.FairShareRatio(customer, now)
	}
	return values
}
