// Package scenario_test runs the scenario scripts of this folder and generated
// soak scripts.
package scenario_test

import (
	"context"
	"os"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelcommand"
	"github.com/greengagekeel/greengagekeel/keelscenario"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		keelscenario.ProgramName: func() {
			os.Exit(keelcommand.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
		},
	})
}

// TestScenarios runs every script of this folder.
func TestScenarios(t *testing.T) { testscript.Run(t, keelscenario.Params(".")) }
