package scenario_test

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelscenario"
	"github.com/greengagekeel/greengagekeel/keelsoak"
	"github.com/rogpeppe/go-internal/testscript"
)

var (
	soakSeeds  = flag.Int("soak.seeds", 2, "number of soak scripts in addition to soak_seeds.list")
	soakFirst  = flag.Uint64("soak.first", 1, "seed of the first soak script")
	soakFaults = flag.Int("soak.faults", 4, "faults in each soak script")
)

// regressionSeeds reads the seeds of scripts that once failed. Each line holds a
// seed, a number of faults and the cause.
func regressionSeeds(t *testing.T) []keelsoak.Config {
	f, err := os.Open("soak_seeds.list")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var all []keelsoak.Config
	scan := bufio.NewScanner(f)
	for scan.Scan() {
		fields := strings.Fields(scan.Text())
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		faults, err := strconv.Atoi(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, keelsoak.Config{Seed: seed, Faults: faults})
	}
	if err := scan.Err(); err != nil {
		t.Fatal(err)
	}
	return all
}

// TestSoak runs scripts of random faults: those that once failed and new ones.
func TestSoak(t *testing.T) {
	all := regressionSeeds(t)
	for i := range *soakSeeds {
		all = append(all, keelsoak.Config{Seed: *soakFirst + uint64(i), Faults: *soakFaults})
	}
	dir := t.TempDir()
	for _, cfg := range all {
		name := filepath.Join(dir, fmt.Sprintf("seed_%d_%d.txtar", cfg.Seed, cfg.Faults))
		if err := os.WriteFile(name, []byte(keelsoak.Script(cfg)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	testscript.Run(t, keelscenario.Params(dir))
}
