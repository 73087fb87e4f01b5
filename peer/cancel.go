package peer

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	v1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
)

// ForwardCancelToPeers sends a cancel request to all live peers in parallel, and
// reports whether one of them runs the session.
func (c *Controller) ForwardCancelToPeers(ctx context.Context, processID uint32, secretKey []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var found atomic.Bool
	var calls errgroup.Group
	for _, member := range c.LiveInstances() {
		client, ok := c.clientOf(member)
		if !ok {
			continue
		}
		calls.Go(func() error {
			response, err := client.ForwardCancel(ctx, connect.NewRequest(&v1.ForwardCancelRequest{
				ProcessId: processID,
				SecretKey: secretKey,
				Sender:    toSender(c.self),
			}))
			if err == nil && response.Msg.GetFound() {
				found.Store(true)
			}
			return nil
		})
	}
	_ = calls.Wait()
	return found.Load()
}
