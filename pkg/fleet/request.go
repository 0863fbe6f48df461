package fleet

import (
	"net/http"
	"time"
)

// PromptPart is one part of a prompt. Different requests can contain the same parts; an
// endpoint that has a part and all parts before it in its cache does not process it
// again.
type PromptPart struct {
	// ID is a hash of the part's name in the request header.
	ID uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// RequestAttrs holds the attributes of a request, decoded from the headers that the
// caller sent.
type RequestAttrs struct {
	// ID is the ID that the caller gave this attempt; empty if it sent none.
	ID string
	// Key is the API key that identifies the caller's customer; empty if the
	// caller sent none.
	Key string
	// Timeout is how long the caller waits for the response; zero means unknown.
	Timeout time.Duration
	// Prompt lists the parts of the prompt in order; the last one is unique to
	// the request. It is nil for services without prompts.
	Prompt []PromptPart
	// InputTokens is the number of prompt tokens, MaxOutputTokens the largest number of
	// tokens that may be generated.
	InputTokens, MaxOutputTokens int
	// OutputEstimate is the caller's estimate of the number of generated tokens;
	// zero means none.
	OutputEstimate int
	// LastEventID is the ID of the last event that the caller received from an
	// earlier run of the request; empty means that the stream begins at its start.
	LastEventID string
	// MalformedHeader is the name of a header that could not be decoded and is
	// treated as missing; empty if there is none.
	MalformedHeader string
}

// MaxPromptTokens bounds the length of a prompt that a caller can state.
const MaxPromptTokens = 1 << 30

// PromptTokens returns the length of the prompt: that of its parts if the caller stated fewer
// tokens, at most MaxPromptTokens.
func (a RequestAttrs) PromptTokens() int {
	tokens := 0
	for _, p := range a.Prompt {
		tokens = min(tokens+min(p.Tokens, MaxPromptTokens), MaxPromptTokens)
	}
	return max(tokens, min(a.InputTokens, MaxPromptTokens))
}

// SharedParts returns the prompt parts that other requests may also contain: all but
// the last. It returns nil if there is no prompt.
func (a RequestAttrs) SharedParts() []PromptPart {
	if len(a.Prompt) == 0 {
		return nil
	}
	return a.Prompt[:len(a.Prompt)-1]
}

// LastSharedPartID returns the ID of the last shared part of the prompt, which
// identifies requests on the same subject. It is zero if there is none.
func (a RequestAttrs) LastSharedPartID() uint64 {
	shared := a.SharedParts()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// ForwardAttrs holds the attributes that are sent to an endpoint with a request.
type ForwardAttrs struct {
	// Endpoint is the only endpoint that may run the request; any other refuses
	// it.
	Endpoint string
	// Customer is the name of the caller's customer; empty on public routes.
	Customer string
	// Remaining is how much longer the caller waits; zero means unknown.
	Remaining time.Duration
	// LastEventID is the ID of the last event that the caller received; empty
	// means that the stream begins at its start.
	LastEventID string
}

// ResponseAttrs holds the attributes of an endpoint's response, decoded from its
// headers.
type ResponseAttrs struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Sealed is set when the response carries the seal header, by which the
	// endpoint confirms that the response is its own.
	Sealed bool
	// NotRun is set when the endpoint reports that it did not run the request
	// and never will.
	NotRun bool
	// HasLoad is set when the response reports the endpoint's load.
	HasLoad bool
	// Running and Waiting count the requests at the endpoint; Slots is how many
	// requests it runs at a time.
	Running, Waiting, Slots int
	// HostSlowdown is how many times longer than usual work takes on the
	// endpoint's machine at the time of the response; zero means not reported.
	HostSlowdown float64
	// IdleTimeout is how long the endpoint keeps an idle connection open; zero
	// means unknown.
	IdleTimeout time.Duration
	// Leaving is set when the endpoint says that it leaves: it wants no further
	// requests, and ends once those that it runs have ended.
	Leaving bool
	// QuietFor is how long the endpoint wants no requests from this instance, from
	// the arrival of the response on; zero means that it did not ask for that.
	QuietFor time.Duration
	// Cold is how long the endpoint says that it is still cold after its start; zero means
	// that it did not say so.
	Cold time.Duration
}

// HeaderCodec converts between HTTP headers and the attributes of requests and
// responses.
// Implementations are safe for concurrent use.
type HeaderCodec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h http.Header) RequestAttrs
	// RewriteForEndpoint changes the headers of a caller's request in place into
	// those that are sent to the endpoint: headers that only the fleet may set are
	// removed or replaced.
	RewriteForEndpoint(h http.Header, attrs ForwardAttrs)
	// DecodeResponse decodes the headers of an endpoint's response.
	DecodeResponse(status int, h http.Header) ResponseAttrs
}
