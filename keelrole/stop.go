package keelrole

import (
	"context"

	"github.com/go-faster/errors"
)

// errStopped makes the run group return after a planned stop.
var errStopped = errors.New("the instance has left")

// stopSignal is closed once a planned stop has completed.
type stopSignal chan struct{}

// wait returns errStopped once the signal is closed, which ends the run group.
func (s stopSignal) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-s:
		return errStopped
	}
}

// ignoreStopped returns err, or nil if it is the error of a planned stop.
func ignoreStopped(err error) error {
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}
