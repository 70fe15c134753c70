package keelsoak_test

import (
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelsoak"
	"github.com/matryer/is"
)

// TestScript checks that scripts are reproducible, that no instance is hit while
// it is down, that at most two are down at a time and none at the end.
func TestScript(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		cfg := keelsoak.Config{Seed: seed, Faults: 8}
		text := keelsoak.Script(cfg)
		is.Equal(text, keelsoak.Script(cfg))
		begins := strings.Count(text, " begins\n")
		is.Equal(begins, cfg.Faults)
		down := map[string]bool{}
		for line := range strings.Lines(text) {
			f := strings.Fields(line)
			switch f[0] {
			case "sigkill", "pause", "leave":
				if down[f[1]] {
					t.Errorf("seed %d: %s is hit while it is down", seed, f[1])
				}
				down[f[1]] = true
			case "resume":
				delete(down, f[1])
			case "start":
				for _, name := range f[1:] {
					delete(down, name)
				}
			}
			if len(down) > 2 {
				t.Errorf("seed %d: %d instances are down", seed, len(down))
			}
		}
		is.Equal(len(down), 0) // all instances run at the end
	}
}
