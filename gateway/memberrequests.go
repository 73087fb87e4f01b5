package gateway

import (
	"context"
	"time"
)

// membershipRequest is what wakes the membership controller before its time.
type membershipRequest string

// Requests to the membership controller.
const (
	heartbeatRequested membershipRequest = "Heartbeat"
	nothingRequested   membershipRequest = ""
	// readRequested means that another instance waits for a read of the rows.
	readRequested membershipRequest = "Read"
)

// waitForRequest waits until the timeout or a request, and at least for
// minHeartbeatSpacing.
func (g *Gateway) waitForRequest(ctx context.Context, timeout time.Duration) membershipRequest {
	if !sleep(ctx, minHeartbeatSpacing) {
		return nothingRequested
	}
	timer := time.NewTimer(max(0, timeout-minHeartbeatSpacing))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nothingRequested
	case <-g.heartbeatRequests:
		return heartbeatRequested
	case <-g.memberReadRequests:
		return readRequested
	case <-timer.C:
		return nothingRequested
	}
}
