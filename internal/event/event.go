// Package event defines the names of structured log events and a log writer that never
// blocks a request.
package event

// Names of events: the values of the field "msg" of a log line.
const (
	// Start is logged once the listeners of the instance are open.
	Start = "start"
	// Stopping is logged when the instance receives the signal to stop, Ending when it
	// ends the requests that are left, Stopped just before the process exits.
	Stopping = "stopping"
	Ending   = "ending"
	Stopped  = "stopped"
	// Reload is logged when the settings have changed.
	Reload = "reload"
	// DependencyLost is logged when a dependency starts to fail, DependencyRecovered
	// when it responds again.
	DependencyLost      = "lost"
	DependencyRecovered = "regained"
	// PlatformRecovered is logged when the platform is reachable again after an outage
	// in which records may have expired.
	PlatformRecovered = "recovered"
	// Restored is logged when the platform is found to have been restored from an older copy of
	// its records, Resynchronized once all records of a feed have been read anew.
	Restored       = "restored"
	Resynchronized = "resynced"
	// KeyReplaced is logged when the instance uses another fleet key than before, because the
	// platform holds another one since it was restored.
	KeyReplaced = "rekeyed"
	// Configuration is logged when a configuration version is applied.
	Configuration = "configuration"
	// Evacuation is logged when operators have emptied a failure domain or taken it back.
	Evacuation = "evacuation"
	// ReadFromPeer is logged when records were read from another instance because
	// the platform did not deliver them.
	ReadFromPeer = "rescued"
	// Learned is logged when an instance that has started asks another one for what it has learned
	// of endpoints.
	Learned = "learned"
	// UnauthenticatedMessage is logged for the first message that is not signed with
	// the fleet's key.
	UnauthenticatedMessage = "stranger"
	// InvalidData is logged for a record, a message or a settings file that cannot
	// be used.
	InvalidData = "odd"
	// Endpoint is logged when the state that the instance holds for an endpoint
	// changes.
	Endpoint = "endpoint"
	// Attempt is logged for an attempt that did not yield the response.
	Attempt = "attempt"
	// Request is logged once for each request, with the outcome that its caller
	// received.
	Request = "request"
	// CallerGivenUp is logged when the connection of a caller is closed because it reads too little of
	// its response.
	CallerGivenUp = "unread"
	// Refusals is logged at most once a second for each service while requests are refused
	// because they would wait too long.
	Refusals = "refusals"
	// Shortfall is logged at most once a second for each of the customers that lack most, while
	// requests are refused.
	Shortfall = "shortfall"
	// Panic is logged with the stack when an unexpected error ended a background task
	// of the instance.
	Panic = "panic"
	// Dropped reports how many lines were not written because there were too many
	// or the reader of the log was too slow.
	Dropped = "dropped"
	// Overload and OverloadEnded are logged when the instance starts and stops
	// rejecting requests because its processor cannot keep up.
	Overload      = "overload"
	OverloadEnded = "relieved"
	// Withdrawn and Returned are logged when the instance leaves the load balancer's rotation
	// because of its callers' demand, and when it returns.
	Withdrawn = "withdrawn"
	Returned  = "returned"
)
