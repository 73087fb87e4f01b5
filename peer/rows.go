package peer

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// HeadKey is the key of the head row, which names the newest roster and sheet.
const HeadKey = "head"

// Head is the content of the head row, stored as JSON.
type Head struct {
	RosterGeneration fleet.RosterGeneration
	SheetVersion     fleet.SheetVersion
}

// RosterKey returns the key of the row of a roster generation.
func RosterKey(generation fleet.RosterGeneration) string {
	return "roster/" + strconv.FormatUint(uint64(generation), 10)
}

// SheetKey returns the key of the row of a sheet version.
func SheetKey(version fleet.SheetVersion) string {
	return "sheet/" + strconv.FormatUint(uint64(version), 10)
}

func decode[T any](row Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, &Error{Err: fmt.Errorf("row %s: %w", row.Key, err), Kind: KindStore, Op: "decode"}
	}
	return value, nil
}

func encode(value any) ([]byte, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return nil, &Error{Err: err, Kind: KindConfig, Op: "encode"}
	}
	return content, nil
}
