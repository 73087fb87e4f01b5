package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/peer"
)

// peerTable gives the peers the rows of the platform's table.
type peerTable struct {
	table   metastore.Table
	timeout time.Duration
}

var _ peer.Table = &peerTable{}

// Read returns the rows that exist.
func (t *peerTable) Read(ctx context.Context, keys []string) ([]peer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	rows, err := t.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return peerRows(rows), nil
}

// Write writes all rows if all conditions hold.
func (t *peerTable) Write(ctx context.Context, conditions []peer.Condition, rows []peer.Row) (bool, []peer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	var wanted []metastore.Condition
	for _, condition := range conditions {
		wanted = append(wanted, metastore.Condition{Key: condition.Key, Revision: metastore.Revision(condition.Revision)})
	}
	var written []metastore.Row
	for _, row := range rows {
		written = append(written, metastore.Row{Key: row.Key, Value: row.Value})
	}
	applied, after, err := t.table.Write(ctx, wanted, written)
	if err != nil {
		return false, nil, err
	}
	return applied, peerRows(after), nil
}

func peerRows(rows []metastore.Row) []peer.Row {
	var result []peer.Row
	for _, row := range rows {
		result = append(result, peer.Row{Key: row.Key, Revision: uint64(row.Revision), Value: row.Value})
	}
	return result
}
