package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// maxAge returns how old the data of a feed may become. Of the instances that reach each other,
// the one of rank 0 reads the feed for all; the others read it only if that one does not.
// A read takes up to wait.
func (i *Instance) maxAge(age, wait time.Duration) func() time.Duration {
	return func() time.Duration {
		rank := i.peers.Rank(time.Now())
		if rank == 0 {
			return age
		}
		delay := standbyAge
		if i.peers.Sparse() {
			delay = relayedStandbyAge
		}
		return age + wait + delay + time.Duration(min(rank, maxRank))*rankAge
	}
}

// applyOperatorRecords applies a batch of the operators' feed. The instance serves from its first
// configuration on, so the emptied failure domains of the batch come first.
func (i *Instance) applyOperatorRecords(b watch.Batch[watch.OperatorRecord]) {
	logSnapshot(i, i.operators.Name, b)
	i.applyEvacuations(b)
	for _, r := range b.Records {
		if r.Err != nil {
			i.logger.Warn(event.InvalidData, zap.String("key", r.Key), zap.Error(r.Err))
			continue
		}
		if r.Value == nil || r.Value.VersionedConfiguration == nil {
			continue
		}
		c := r.Value.VersionedConfiguration
		if c.Version > i.handler.Version() {
			// Requests are served by the configuration as soon as it is in use.
			i.balancer.SetStartup(i.startups(c.Config), time.Now())
		}
		if i.handler.Use(c.Config, c.Version) {
			i.logger.Info(event.Configuration, zap.Int64("version", c.Version), zap.Int("routes", len(c.Config.Routes)))
		}
	}
}

// applyEndpointRecords applies a batch of the endpoints' feed.
func (i *Instance) applyEndpointRecords(b watch.Batch[fleet.EndpointInfo]) {
	logSnapshot(i, i.endpoints.Name, b)
	i.tracker.Apply(b)
}

// startups returns the services whose endpoints are cold after their start.
func (i *Instance) startups(config arrangement.Config) map[string]placement.Startup {
	startups := map[string]placement.Startup{}
	for _, s := range config.Services {
		if s.StartupRate > 0 {
			startups[s.Name] = placement.Startup{
				Limit: warmup.Limit{Rate: s.StartupRate, Over: i.StartupOver, Slack: i.StartupSlack},
				Time:  s.StartupTime(),
			}
		}
	}
	return startups
}

func (i *Instance) logUnreachable(feed string) func(error) {
	return func(err error) { i.logger.Warn(event.DependencyLost, zap.String("feed", feed), zap.Error(err)) }
}

func (i *Instance) logReachable(feed string) func(time.Duration) {
	return func(outage time.Duration) {
		i.logger.Info(event.DependencyRecovered, zap.String("feed", feed), zap.Duration("away", outage))
	}
}

// defaultHeartbeatInterval is how often endpoints write their records if it is not known.
const defaultHeartbeatInterval = 1200 * time.Millisecond

// expiryTime returns how long an outage of the platform must last for records of endpoints to
// expire: three intervals after the last write, which was up to one interval before the outage.
func (i *Instance) expiryTime() time.Duration { return 2 * i.heartbeatInterval() }

func (i *Instance) heartbeatInterval() time.Duration {
	if i.HeartbeatInterval == 0 {
		return defaultHeartbeatInterval
	}
	return i.HeartbeatInterval
}

// platformRecovered is called when the platform is reachable again after an outage, as seen by
// this instance or, if relayed is set, by another one.
func (i *Instance) platformRecovered(at time.Time, relayed bool) {
	i.logger.Info(event.PlatformRecovered, zap.Duration("since", time.Since(at)), zap.Bool("relayed", relayed))
	i.tracker.SetRecovered(at)
}

// logMissing logs an endpoint that is kept although its record is missing.
func (i *Instance) logMissing(id, cause string, until time.Time) {
	i.logger.Info(event.Endpoint, zap.String("endpoint", id), zap.String("to", "missing"), zap.String("cause", cause), zap.Duration("kept", time.Until(until)))
}

// logIgnored counts and logs a record of an endpoint that is not used because of its age, and a
// disputed one that is used from now on.
func (i *Instance) logIgnored(id string, e fleet.EndpointInfo, age watch.RecordAge) {
	i.handler.Metrics.Count(gauge.Name("endpoint_records_total", "age", string(age)))
	i.logger.Info(event.Endpoint, zap.String("endpoint", id), zap.String("to", string(age)+" record"),
		zap.Int64("born", e.Born), zap.Int64("sequence", e.Sequence), zap.Bool("leaving", e.Leaving))
}
