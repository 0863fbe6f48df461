// Package fleet defines the domain types: the structs, string enums and interfaces
// that the other packages share. It contains next to no behaviour.
package fleet

import (
	"context"
	"errors"
	"time"
)

// Outcome describes what is known about the execution of a request.
type Outcome string

// The outcomes of requests. Every response carries one.
const (
	// OutcomeRan means that an endpoint executed the request.
	OutcomeRan Outcome = "ran"
	// OutcomeRefused means that no endpoint executed the request.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that an endpoint may have executed the request.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the reason why a request was refused or why its outcome is unknown.
type Reason string

// The reasons that are reported in responses, metrics and audit entries.
const (
	ReasonQueueFull       Reason = "queue-full"
	ReasonDeadline        Reason = "deadline"
	ReasonCancelled       Reason = "cancelled"
	ReasonStopping        Reason = "stopping"
	ReasonNoEndpoint      Reason = "no-endpoint"
	ReasonEvacuated       Reason = "evacuated"
	ReasonRegion          Reason = "region"
	ReasonNotReady        Reason = "not-ready"
	ReasonQuarantine      Reason = "quarantined"
	ReasonLogUnavailable  Reason = "log-unavailable"
	ReasonKeyReused       Reason = "key-reused"
	ReasonInProgress      Reason = "in-progress"
	ReasonOwnerGone       Reason = "owner-gone"
	ReasonUnreachable     Reason = "endpoint-unreachable"
	ReasonEndpointFailed  Reason = "endpoint-broke-off"
	ReasonInvalidResponse Reason = "endpoint-answered-garbage"
	ReasonRetryBudget     Reason = "retry-budget-spent"
	ReasonCPUOverload     Reason = "processor-behind"
	// ReasonBodyMemory means that the bodies of requests in progress take all memory that
	// there is for bodies.
	ReasonBodyMemory Reason = "body-memory-short"
	// ReasonUnread means that the caller read too little of its response.
	ReasonUnread Reason = "response-unread"
	// ReasonQuiet means that all endpoints of the service want no requests for a while.
	ReasonQuiet Reason = "endpoint-quiet"
)

// Unit is the unit in which the cost of a service's requests is counted.
type Unit string

// The units of cost.
const (
	// UnitTokens counts the tokens that an endpoint streamed.
	UnitTokens Unit = "tokens"
	// UnitTime counts the milliseconds for which a request held a slot.
	UnitTime Unit = "time"
)

// Role is the role of an instance in the instance list.
type Role string

// The roles of instances. An entry instance is an instance of the router, to which
// callers connect.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Instance is one item of the platform's instance list.
type Instance struct {
	// Name is unique in the fleet and stable across restarts.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain"`
	// Address is host:port: the address for peers of an entry instance, or the
	// service address of an endpoint.
	Address string `json:"address"`
	// Service is empty for entry instances.
	Service string `json:"service,omitempty"`
	// Leaving is set when the instance is draining and must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation increases with every start of an endpoint under the same name; zero
	// means that the platform does not state it.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// InstanceList is the platform's list of live and draining instances. The list is
// eventually consistent: it can be out of date. Implementations are safe for
// concurrent use.
type InstanceList interface {
	// Instances returns the list. It returns an error if the platform is
	// unreachable.
	Instances(ctx context.Context) ([]Instance, error)
}

// ErrTrimmed is returned by Log.Read and Feed.Changes for an offset whose record was
// removed by retention, and by Feed.Changes for one that the platform has not given out.
var ErrTrimmed = errors.New("fleet: the record at this offset was removed by retention")

// Record is one record of a log stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
	// Age is the time since the log accepted the record, measured by the log
	// service's clock.
	Age time.Duration `json:"age"`
}

// Page is the result of a read from a log stream.
type Page struct {
	Records []Record `json:"records"`
	// First is the oldest offset that the log retains.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log service. Implementations are safe for
// concurrent use.
type Log interface {
	// Append adds a record and returns its offset. The record may have been
	// added even if Append returns an error.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns at most limit records, starting at an offset. For an offset
	// below First it returns ErrTrimmed and a Page with First set.
	Read(ctx context.Context, stream string, from int64, limit int) (Page, error)
}

// Quarantine finds out which requests crash endpoints, so that they are not sent to further
// ones. What requests have in common is identified by signatures: hashes that equal requests,
// or requests that share a part, have in common. Implementations are safe for concurrent use.
type Quarantine interface {
	// Contains reports whether requests with these signatures are quarantined.
	Contains(signatures []uint64) bool
	// Watch calls a function, at most once, when a request with these signatures becomes
	// quarantined, until stop is called. The function must not block.
	Watch(signatures []uint64, quarantined func()) (stop func())
	// Answered records that an endpoint responded to a request with these signatures and
	// did not crash.
	Answered(signatures []uint64)
	// Crashed records that an endpoint crashed while it had a request.
	Crashed(s Suspect)
}

// Suspect is a request that an endpoint had when it crashed.
type Suspect struct {
	Endpoint string
	// Request is the ID of the request, for logs.
	Request string
	// Signatures are those by which the request may have caused the crash.
	Signatures []uint64
	Progress   Progress
	// Sent is when the request was sent to the endpoint, Broken when its connection broke.
	Sent, Broken time.Time
}

// Progress is how far the response to a request had come.
type Progress string

// The stages of a response.
const (
	// ProgressWaiting means that nothing of the response had arrived.
	ProgressWaiting Progress = "waiting"
	// ProgressBegun means that the response had begun, but may not have come further than
	// its first event.
	ProgressBegun Progress = "begun"
	// ProgressRunning means that the response had gone on after its first event.
	ProgressRunning Progress = "running"
)
