package admission_test

import "flag"

// Properties are checked with a fixed seed, so that CI gives the same result every time;
// the flag -rapid.seed sets another.
func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
}
