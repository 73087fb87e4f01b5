package document

import (
	"fmt"
	"strings"
)

// Problem is one error in a document, with its position.
type Problem struct {
	// Accepted describes the accepted values. It is empty if the problem is not
	// about the value.
	Accepted string `json:",omitempty"`
	// Column counts characters from one.
	Column int
	File   string
	// Line counts from one.
	Line    int
	Message string
	// Path is the key path, for example "Groups[0].Servers[1].Address".
	Path string `json:",omitempty"`
	// Value is the value in the document in JSON form. It is empty for missing and
	// secret values, and for lists and objects.
	Value string `json:",omitempty"`
}

// String returns the problem as one line in the format of a compiler message.
func (p Problem) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Path != "" {
		text.WriteString(p.Path + ": ")
	}
	text.WriteString(p.Message)
	if p.Value != "" {
		text.WriteString(", found " + p.Value)
	}
	if p.Accepted != "" {
		text.WriteString(", accepted: " + p.Accepted)
	}
	return text.String()
}
