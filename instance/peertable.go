package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/peer"
)

// peerTable implements peer.Table with the platform's table. The timeout bounds each
// call.
type peerTable struct {
	table   metastore.Table
	timeout time.Duration
}

var _ peer.Table = &peerTable{}

// Read returns those of the rows that exist.
func (t *peerTable) Read(ctx context.Context, keys []string) ([]peer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	rows, err := t.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return peerRows(rows), nil
}

// Write writes all rows if all conditions hold, and none otherwise. It reports
// whether it wrote, and returns the rows as they are after the call.
func (t *peerTable) Write(ctx context.Context, conditions []peer.Condition, rows []peer.Row) (bool, []peer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	var tableConditions []metastore.Condition
	for _, condition := range conditions {
		tableConditions = append(tableConditions, metastore.Condition{Key: condition.Key, Revision: metastore.Revision(condition.Revision)})
	}
	var tableRows []metastore.Row
	for _, row := range rows {
		tableRows = append(tableRows, metastore.Row{Key: row.Key, Value: row.Value})
	}
	applied, after, err := t.table.Write(ctx, tableConditions, tableRows)
	if err != nil {
		return false, nil, err
	}
	return applied, peerRows(after), nil
}

// peerRows converts rows of the table to the type of the peer controller.
func peerRows(rows []metastore.Row) []peer.Row {
	var result []peer.Row
	for _, row := range rows {
		result = append(result, peer.Row{Key: row.Key, Revision: uint64(row.Revision), Value: row.Value})
	}
	return result
}
