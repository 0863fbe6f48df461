package share_test

import "flag"

// Property tests run with a fixed seed, so that CI gives the same result every time;
// -rapid.seed sets another.
func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
}
