package test

import (
	"fmt"
	"os"
	"testing"
)

// TestMain runs the upstream stand-in instead of the tests if the environment
// asks for it: the tests start this binary again as their upstreams.
func TestMain(m *testing.M) {
	if config := os.Getenv(upstreamVariable); config != "" {
		if err := runUpstream(config); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}
