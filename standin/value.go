package standin

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// formatBinary is the protocol's code for the binary format of a value.
const formatBinary = 1

// column describes a result column. An oid of zero means that the type is not
// known yet.
type column struct {
	name string
	oid  uint32
}

// oidOfDeclaredType returns the type OID for the declared SQL type of a column, or
// zero if no type was declared.
func oidOfDeclaredType(declared string) uint32 {
	name := strings.ToLower(declared)
	switch {
	case name == "":
		return 0
	case strings.Contains(name, "int") || strings.Contains(name, "serial"):
		return pgtype.Int8OID
	case strings.Contains(name, "bool"):
		return pgtype.BoolOID
	case strings.Contains(name, "real"), strings.Contains(name, "float"), strings.Contains(name, "double"), strings.Contains(name, "numeric"):
		return pgtype.Float8OID
	case name == "blob" || name == "bytea":
		return pgtype.ByteaOID
	}
	return pgtype.TextOID
}

// oidOfValue returns the type OID of a value, or zero for NULL.
func oidOfValue(value any) uint32 {
	switch value.(type) {
	case nil:
		return 0
	case bool:
		return pgtype.BoolOID
	case float64:
		return pgtype.Float8OID
	case int64:
		return pgtype.Int8OID
	case []byte:
		return pgtype.ByteaOID
	}
	return pgtype.TextOID
}

// resolveTypes sets the type of each column without a declared type to the type of
// its first value that is not NULL, or to the fallback if there is none.
func (s *resultSet) resolveTypes(fallback func(name string) uint32) {
	for i := range s.columns {
		for _, row := range s.rows {
			if s.columns[i].oid != 0 {
				break
			}
			s.columns[i].oid = oidOfValue(row[i])
		}
		if s.columns[i].oid == 0 {
			s.columns[i].oid = fallback(s.columns[i].name)
		}
	}
}

// typeSizes holds the sizes in bytes of the types with a fixed size.
var typeSizes = map[uint32]int16{pgtype.BoolOID: 1, pgtype.Float8OID: 8, pgtype.Int8OID: 8}

// rowDescription returns the message for columns and their formats.
func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	desc := &pgproto3.RowDescription{}
	for i, c := range columns {
		size, fixed := typeSizes[c.oid]
		if !fixed {
			size = -1
		}
		desc.Fields = append(desc.Fields, pgproto3.FieldDescription{
			DataTypeOID:  c.oid,
			DataTypeSize: size,
			Format:       formatAt(formats, i),
			Name:         []byte(c.name),
			TypeModifier: -1,
		})
	}
	return desc
}

// formatAt returns the format code of the value at an index by the protocol's rule:
// no codes mean text for all values, a single code applies to all values.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

// encodeRow returns the message for one row.
func encodeRow(columns []column, formats []int16, row []any) (*pgproto3.DataRow, error) {
	values := make([][]byte, len(row))
	for i, v := range row {
		encoded, err := encodeValue(columns[i].oid, formatAt(formats, i), v)
		if err != nil {
			return nil, err
		}
		values[i] = encoded
	}
	return &pgproto3.DataRow{Values: values}, nil
}

func encodeValue(oid uint32, format int16, value any) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	if format != formatBinary {
		return []byte(textOf(oid, value)), nil
	}
	switch oid {
	case pgtype.Int8OID:
		n, err := strconv.ParseInt(textOf(oid, value), 10, 64)
		if err != nil {
			return nil, newSQLError(codeInvalidText, "column value is not an integer")
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case pgtype.Float8OID:
		f, err := strconv.ParseFloat(textOf(oid, value), 64)
		if err != nil {
			return nil, newSQLError(codeInvalidText, "column value is not a number")
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	case pgtype.BoolOID:
		if textOf(oid, value) == "t" {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case pgtype.ByteaOID:
		if b, ok := value.([]byte); ok {
			return b, nil
		}
	}
	return []byte(textOf(oid, value)), nil
}

// textOf returns the text format of a value in a column of the type.
func textOf(oid uint32, value any) string {
	switch v := value.(type) {
	case bool:
		if oid == pgtype.Int8OID {
			return strconv.Itoa(boolInt(v))
		}
		return boolText(v)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case int64:
		if oid == pgtype.BoolOID {
			return boolText(v != 0)
		}
		return strconv.FormatInt(v, 10)
	case []byte:
		if oid == pgtype.ByteaOID {
			return fmt.Sprintf(`\x%x`, v)
		}
		return string(v)
	case string:
		return v
	case time.Time:
		return timestampText(v)
	}
	return fmt.Sprint(value)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func boolText(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

// decodeParameter converts a parameter to a value for the engine.
func decodeParameter(oid uint32, format int16, data []byte) (any, error) {
	if data == nil {
		return nil, nil
	}
	if format == formatBinary {
		return decodeBinary(oid, data)
	}
	return decodeText(oid, string(data)), nil
}

func decodeBinary(oid uint32, data []byte) (any, error) {
	switch oid {
	case pgtype.BoolOID:
		if len(data) == 1 {
			return int64(data[0]), nil
		}
	case pgtype.Float4OID, pgtype.Float8OID:
		switch len(data) {
		case 4:
			return float64(math.Float32frombits(binary.BigEndian.Uint32(data))), nil
		case 8:
			return math.Float64frombits(binary.BigEndian.Uint64(data)), nil
		}
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		switch len(data) {
		case 2:
			return int64(int16(binary.BigEndian.Uint16(data))), nil
		case 4:
			return int64(int32(binary.BigEndian.Uint32(data))), nil
		case 8:
			return int64(binary.BigEndian.Uint64(data)), nil
		}
	case pgtype.TextOID, pgtype.VarcharOID:
		return string(data), nil
	case pgtype.ByteaOID:
		return append([]byte{}, data...), nil
	}
	return nil, newSQLError(codeFeatureUnsupported, "parameter of type %d with %d bytes in binary form is not supported", oid, len(data))
}

// decodeText converts a value in the text format. A text that is not valid for the
// type stays a string, because most parameter types are only inferred from the
// statement.
func decodeText(oid uint32, text string) any {
	switch oid {
	case pgtype.BoolOID:
		switch strings.ToLower(text) {
		case "t", "true", "on", "1":
			return int64(1)
		case "f", "false", "off", "0":
			return int64(0)
		}
	case pgtype.Float4OID, pgtype.Float8OID, pgtype.NumericOID:
		if f, err := strconv.ParseFloat(text, 64); err == nil {
			return f
		}
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && strconv.FormatInt(n, 10) == text {
			return n
		}
	}
	return text
}
