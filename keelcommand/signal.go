package keelcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals are the signals that stop the program in order.
var stopSignals = []os.Signal{os.Interrupt, syscall.SIGTERM}

// untilSignal returns a context that ends with a signal to stop.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, stopSignals...)
}
