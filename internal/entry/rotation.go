package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/overload"
)

// withdrawn reports whether the instance takes no new callers because of those that it has.
func (i *Instance) withdrawn() bool {
	out, _ := i.rotation.Out()
	return out || i.lagMeter.Overloaded()
}

// load returns the estimate of how much of its processor the instance needs.
func (i *Instance) load() overload.Load { return i.capacity.Load(i.handler.ShortestTarget()) }

// updateRelief decides whether the instance takes new callers and how many of its own are moved.
func (i *Instance) updateRelief(context.Context) {
	now := time.Now()
	i.measureUsage(now)
	busy, live := i.peers.OverloadedInDomain(now)
	others := overload.OthersHaveRoom(live, busy)
	load, lagging := i.load(), i.lagMeter.Overloaded()
	i.rotation.Update(load, lagging, others, now)
	i.relief.Update(i.withdrawn(), lagging || !load.HasRoom(), i.idleConns.openCount(), others, now)
}

// idleTimeout returns how long callers may leave their connections idle: as long as the configuration says, or
// minIdle while those that come back may overload the instance.
func (i *Instance) idleTimeout() time.Duration {
	limit := i.handler.IdleTimeout()
	if i.rotation.Unsteady(time.Now()) {
		return min(limit, minIdle)
	}
	return limit
}

// measureUsage updates the estimate of the processor that the instance needs. Without a measurement the lag
// alone decides.
func (i *Instance) measureUsage(now time.Time) {
	used, err := overload.ProcessorTime()
	if err != nil {
		i.usageFailure.Do(func() { i.logger.Warn(event.DependencyLost, zap.Error(err)) })
		return
	}
	arrived, refused := i.handler.Shedder.Counts()
	i.capacity.Update(overload.Usage{Processor: used, Arrived: arrived, Refused: refused, Lagging: i.lagMeter.RejectFraction() > 0}, now)
}

func (i *Instance) overloadChanged(overloaded bool, lag time.Duration) {
	name := event.OverloadEnded
	if overloaded {
		name = event.Overload
	}
	i.logger.Warn(name, append(i.callerFields(), zap.Duration("lag", lag))...)
}

func (i *Instance) rotationChanged(out bool, cause overload.RotationCause, hold time.Duration, l overload.Load) {
	name := event.Returned
	if out {
		name = event.Withdrawn
	}
	i.logger.Warn(name, append(i.callerFields(), zap.String("cause", string(cause)), zap.Duration("for", hold),
		zap.Float64("share", l.Share), zap.Float64("demand", l.Demand), zap.Float64("limit", l.Limit), zap.Float64("ceiling", l.Ceiling),
		zap.Float64("rate", l.Rate), zap.Float64("cost", l.Cost.Seconds()*1000), zap.Duration("lag", i.lagMeter.Lag()))...)
}

func (i *Instance) callerFields() []zap.Field {
	return []zap.Field{
		zap.Int64("active", i.handler.Active()), zap.Int("connections", i.idleConns.openCount()), zap.Int64("moved", i.relief.Moved()),
	}
}
