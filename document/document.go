// Package document decodes JSON with comments into structs and validates the values.
// It reports all problems of a document at once, each with line, column and key path.
package document

import (
	"bytes"
	"cmp"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxBytes is the maximum size of a document. It limits the cost of parsing.
const MaxBytes = 8 << 20

// maxDepth is the maximum nesting depth of lists and objects. It protects the stack,
// because the hujson parser is recursive. The formats of this project need 6 levels.
const maxDepth = 64

// syntaxPattern matches the syntax errors of the hujson parser.
var syntaxPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// Document is a decoded document with the problems found in it.
type Document struct {
	content []byte
	file    string
	// offsets holds the byte offset of each decoded value by its key path.
	offsets  map[string]int
	problems []Problem
}

// Decode decodes content into target, which is a pointer to a struct. Keys are the
// names of the Go fields. Missing keys get the defaults of the rules. The file name
// is used only in problems.
func Decode(file string, content []byte, rules []Rule, target any) *Document {
	d := &Document{content: content, file: file, offsets: map[string]int{"": 0}}
	if len(content) > MaxBytes {
		d.add(0, Problem{Message: "document is larger than " + strconv.Itoa(MaxBytes) + " bytes"})
		return d
	}
	if offset, tooDeep := exceedsMaxDepth(content); tooDeep {
		d.add(offset, Problem{Message: "nested more than " + strconv.Itoa(maxDepth) + " levels deep"})
		return d
	}
	root, err := hujson.Parse(content)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	decoder := &decoder{document: d, rules: indexRules(rules)}
	decoder.decodeRoot(root, target)
	return d
}

// Add reports a problem with the value at a key path. If the document does not
// contain the path, the position of the nearest parent is reported.
func (d *Document) Add(path, message string) {
	d.add(d.offset(path), Problem{Message: message, Path: path})
}

// AddAt reports a problem at a byte offset of the document.
func (d *Document) AddAt(offset int, message string) {
	d.add(offset, Problem{Message: message})
}

// Problems returns all problems, ordered by position.
func (d *Document) Problems() []Problem {
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}

func (d *Document) add(offset int, problem Problem) {
	problem.File = d.file
	problem.Line, problem.Column = d.position(offset)
	d.problems = append(d.problems, problem)
}

// addSyntaxError reports an error of the hujson parser.
func (d *Document) addSyntaxError(err error) {
	problem := Problem{Column: 1, File: d.file, Line: 1, Message: "syntax error: " + err.Error()}
	if m := syntaxPattern.FindStringSubmatch(err.Error()); m != nil {
		problem.Line, _ = strconv.Atoi(m[1])
		problem.Column, _ = strconv.Atoi(m[2])
		problem.Message = "syntax error: " + m[3]
	}
	d.problems = append(d.problems, problem)
}

// offset returns the byte offset of the value at a key path, or that of its nearest
// parent in the document.
func (d *Document) offset(path string) int {
	for {
		if offset, known := d.offsets[path]; known {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// position returns the line and the column of a byte offset, both counted from one.
func (d *Document) position(offset int) (line, column int) {
	before := d.content[:min(max(offset, 0), len(d.content))]
	line = 1 + strings.Count(string(before), "\n")
	lineStart := strings.LastIndexByte(string(before), '\n') + 1
	return line, 1 + utf8.RuneCount(before[lineStart:])
}

// exceedsMaxDepth reports whether the content is nested deeper than maxDepth, with
// the offset at which it is. It scans the content instead of parsing it, because the
// parser would exhaust the stack.
func exceedsMaxDepth(content []byte) (offset int, exceeded bool) {
	depth := 0
	for i := 0; i < len(content); i++ {
		switch content[i] {
		case '"':
			i = skipString(content, i)
		case '/':
			i = skipComment(content, i)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipComment returns the offset of the last byte of the comment that starts at i, or
// i if no comment starts there.
func skipComment(content []byte, i int) int {
	terminator, markerLength := "", 2
	switch {
	case bytes.HasPrefix(content[i:], []byte("//")):
		terminator = "\n"
	case bytes.HasPrefix(content[i:], []byte("/*")):
		terminator = "*/"
	default:
		return i
	}
	length := bytes.Index(content[i+markerLength:], []byte(terminator))
	if length < 0 {
		return len(content)
	}
	return i + markerLength + length + len(terminator) - 1
}

// skipString returns the offset of the closing quote of the string that starts at i.
func skipString(content []byte, i int) int {
	for i++; i < len(content) && content[i] != '"'; i++ {
		if content[i] == '\\' {
			i++
		}
	}
	return i
}

func indexRules(rules []Rule) map[string]Rule {
	index := make(map[string]Rule, len(rules))
	for _, rule := range rules {
		index[rule.Path] = rule
	}
	return index
}
