package gateway

// CheckEvents returns the sound events at the beginning of a stream, and the ID of the last one.
func CheckEvents(sent []byte) (part []byte, last int64) {
	part, last, _ = (&eventSequence{}).next(sent[:completeEventsEnd(sent)])
	return part, last
}
