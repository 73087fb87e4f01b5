package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement that a client prepared.
type preparedStatement struct {
	columns    []column
	described  bool
	parameters []uint32
	statement  *statement
}

// portal is a statement with bound parameters, and its result once it ran.
type portal struct {
	args     []any
	formats  []int16
	prepared *preparedStatement
	rows     [][]any
	set      *rowSet
}

// extended handles a message of the extended protocol.
func (c *session) extended(message pgproto3.FrontendMessage) error {
	return newSQLError(codeProtocol, "unexpected message %T", message)
}
