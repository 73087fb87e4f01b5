package gateway

import (
	"context"
	"errors"
	"slices"

	"github.com/nutmegpier/nutmegpier/relay"
)

// maxDirectWriters is the number of instances up to which each writes an urgent row by
// itself, which takes less time than through the relay.
const maxDirectWriters = 16

// WriteRow writes the membership row of another instance, or the row with its counts,
// together with those of others.
func (g *Gateway) WriteRow(ctx context.Context, write relay.RowWrite) (relay.RowWriteResult, error) {
	if g.usage != nil && write.Table == string(usageTable) {
		return g.writePeerUsage(ctx, write)
	}
	if !slices.Contains(memberPartitions(), Partition(write.Partition)) {
		return relay.RowWriteResult{}, &Error{Err: errors.New("the row is not in a partition of the instances' rows"), Kind: KindInvalid, Op: "write row"}
	}
	result, err := g.rowBatcher.Write(ctx, Write{
		Key: write.Key, Partition: Partition(write.Partition), Revision: write.Revision, Table: memberTable, Value: write.Value,
	}, write.Urgent)
	if err != nil {
		return relay.RowWriteResult{}, err
	}
	return relay.RowWriteResult{Applied: result.Applied, Current: result.currentRow(), Revision: result.Revision}, nil
}

// writeMemberRow writes this instance's row: in a batch with the rows of others if this
// instance has a relay or is one, and otherwise by itself. If the relay does not answer,
// it writes the row itself; of the two writes, at most one is applied.
func (g *Gateway) writeMemberRow(ctx context.Context, write Write, urgent bool) (WriteResult, error) {
	g.mu.Lock()
	live := g.members.liveCount()
	g.mu.Unlock()
	if urgent && live <= maxDirectWriters {
		return g.write(ctx, write)
	}
	peer, found := g.currentRelay(g.config.Clock())
	if !found {
		if g.isRelay() {
			return g.rowBatcher.Write(ctx, write, urgent)
		}
		return g.write(ctx, write)
	}
	callCtx, cancel := context.WithTimeout(ctx, relayWriteTimeout)
	defer cancel()
	result, err := g.config.RelayClient.WriteRow(callCtx, peer.address, peer.secret, relay.RowWrite{
		Key: write.Key, Partition: string(write.Partition), Revision: write.Revision, Urgent: urgent, Value: write.Value,
	})
	countRelayCall(err)
	if err == nil {
		return WriteResult{Applied: result.Applied, Current: []CurrentRow{{Row: result.Current, Table: memberTable}}, Revision: result.Revision}, nil
	}
	if ctx.Err() != nil {
		return WriteResult{}, &Error{Err: ctx.Err(), Kind: KindUnknown, Op: "write row"}
	}
	var relayErr *relay.Error
	if errors.As(err, &relayErr) && relayErr.Kind == relay.KindStoreFailed {
		// The store would fail for this instance too, and for all others of the relay
		// at the same moment.
		return WriteResult{}, &Error{Err: err, Kind: KindUnknown, Op: "write row"}
	}
	if relayErr == nil || relayErr.Kind != relay.KindUnauthorized {
		// A relay that has restarted is used again once its row shows its new secret.
		g.recordRelayLost(g.config.Clock(), peer, err)
	}
	return g.write(ctx, write)
}

// isRelay reports whether other instances may read from this one.
func (g *Gateway) isRelay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.RelayClient != nil && g.members.liveCount() > 1 &&
		g.members.relayFor(g.config.Settings.DataCentre) == g.members.self
}
