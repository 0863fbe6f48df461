package watch_test

import "flag"

// init sets a fixed seed for property tests, so that CI gives the same result every time;
// -rapid.seed sets another one.
func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
}
