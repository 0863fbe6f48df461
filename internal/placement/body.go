package placement

const (
	// largeBodyBytes is the size from which the body of a request is large.
	largeBodyBytes = 256 << 10
	// bodyCostMS is what each MiB of large bodies that this instance has at an endpoint costs the next
	// large one there, in milliseconds: endpoints crash if what they hold exceeds their memory, which
	// is not known here.
	bodyCostMS = 100.0
)

// largeBody returns the size of the request's body if it is large, otherwise zero.
func (r Request) largeBody() int64 {
	if r.BodyBytes < largeBodyBytes {
		return 0
	}
	return r.BodyBytes
}

// bodyCost returns what the large bodies at an endpoint cost a request with another one, in milliseconds.
func (s *endpointState) bodyCost(r Request) float64 {
	if r.largeBody() == 0 {
		return 0
	}
	return bodyCostMS * float64(s.bodyBytes) / (1 << 20)
}
