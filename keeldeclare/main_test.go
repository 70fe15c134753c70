package keeldeclare_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed, so that every run has the same
// result. -rapid.seed selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
