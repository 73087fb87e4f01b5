package sheet

import (
	"fmt"
	"strings"

	"github.com/nutmegpier/nutmegpier/document"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that a sheet or a record is not valid.
	KindInvalid Kind = "Invalid"
	// KindRandom means that reading from the random source failed.
	KindRandom Kind = "Random"
	// KindSalt means that a salt or an iteration count is not valid.
	KindSalt Kind = "Salt"
)

// Error is the error type of this package.
type Error struct {
	// Err is the cause. It is nil if Problems is set.
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
	// Problems lists the errors found in a sheet.
	Problems []document.Problem
}

// Error returns the operation and either the cause or one line for each problem.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s: %d problems\n%s", e.Op, len(e.Problems), strings.Join(e.Lines(), "\n"))
}

// Lines returns one line for each problem.
func (e *Error) Lines() []string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return lines
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
