package caller_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
)

func simpleMode(config *pgx.ConnConfig) {
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
}

func extendedMode(*pgx.ConnConfig) {}

// TestRelayRows guards against changing or truncating rows in either protocol.
func TestRelayRows(t *testing.T) {
	for name, mode := range map[string]func(*pgx.ConnConfig){"Simple": simpleMode, "Extended": extendedMode} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, oneRow("primary"), oneRow("replica"))
			conn := d.connect(t, mode)
			for range 3 {
				var got string
				if err := conn.QueryRow(context.Background(), "select value from t").Scan(&got); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff("replica", got); diff != "" {
					t.Errorf("row (-want +got):\n%s", diff)
				}
			}
		})
	}
}
