// Command greengagekeel runs an instance of a global traffic steering system and
// is the command-line tool of its operators.
package main

import (
	"context"
	"os"

	"github.com/greengagekeel/greengagekeel/keelcommand"
)

func main() {
	os.Exit(keelcommand.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
