package keelcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals are the signals that stop the program gracefully.
var stopSignals = []os.Signal{os.Interrupt, syscall.SIGTERM}

// withStopSignals returns a context that is cancelled by the first stop signal.
func withStopSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, stopSignals...)
}
