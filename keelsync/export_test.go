package keelsync

import (
	"context"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// HandlePoll makes a voter handle the poll of an instance that has applied the entries up to after.
func HandlePoll(ctx context.Context, v *Voter, n keelworld.Node, after uint64) error {
	body, err := keel.EncodeCBOR(&feedRequest{Node: n, After: after})
	if err != nil {
		return err
	}
	_, err = v.handleFeed(ctx, keel.Envelope{Kind: keel.KindFeed, Body: body})
	return err
}
