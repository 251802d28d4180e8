package delta

import "flag"

// A fixed seed makes every run of the property tests draw the same cases;
// -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261"); err != nil {
		panic(err)
	}
}
