// Package document reads JSON with comments into typed structs. It reports
// all problems of a document at once, each with line, column and key path.
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

// MaxBytes is the largest accepted document. It bounds the work of a parse.
const MaxBytes = 8 << 20

// maxDepth bounds the nesting of lists and objects. The formats of the project
// need 6 levels; the parser of the library is recursive.
const maxDepth = 64

var syntaxPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// Document is a parsed document with its problems.
type Document struct {
	content  []byte
	file     string
	offsets  map[string]int
	problems []Problem
}

// Decode reads content into target, a pointer to a struct. Keys are the names
// of the Go fields. Missing keys get the defaults of the rules. The file name
// is used only in problems.
func Decode(file string, content []byte, rules []Rule, target any) *Document {
	d := &Document{content: content, file: file, offsets: map[string]int{"": 0}}
	if len(content) > MaxBytes {
		d.add(0, Problem{Message: "document is larger than " + strconv.Itoa(MaxBytes) + " bytes"})
		return d
	}
	if offset, deep := tooDeep(content); deep {
		d.add(offset, Problem{Message: "nested more than " + strconv.Itoa(maxDepth) + " levels deep"})
		return d
	}
	root, err := hujson.Parse(content)
	if err != nil {
		d.addSyntax(err)
		return d
	}
	decoder := &decoder{document: d, rules: indexRules(rules)}
	decoder.decodeRoot(root, target)
	return d
}

// Add records a problem at a key path. When the path is not in the document,
// the place of its nearest parent is reported.
func (d *Document) Add(path, message string) {
	d.add(d.offset(path), Problem{Message: message, Path: path})
}

// AddAt records a problem at a byte offset of the document.
func (d *Document) AddAt(offset int, message string) {
	d.add(offset, Problem{Message: message})
}

// Problems returns all problems in the order of their places.
func (d *Document) Problems() []Problem {
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}

func (d *Document) add(offset int, problem Problem) {
	problem.File = d.file
	problem.Line, problem.Column = d.place(offset)
	d.problems = append(d.problems, problem)
}

func (d *Document) addSyntax(err error) {
	problem := Problem{Column: 1, File: d.file, Line: 1, Message: "syntax: " + err.Error()}
	if m := syntaxPattern.FindStringSubmatch(err.Error()); m != nil {
		problem.Line, _ = strconv.Atoi(m[1])
		problem.Column, _ = strconv.Atoi(m[2])
		problem.Message = "syntax: " + m[3]
	}
	d.problems = append(d.problems, problem)
}

func (d *Document) offset(path string) int {
	for {
		if offset, known := d.offsets[path]; known {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// place returns line and column, both counted from one.
func (d *Document) place(offset int) (line, column int) {
	before := d.content[:min(max(offset, 0), len(d.content))]
	line = 1 + strings.Count(string(before), "\n")
	lineStart := strings.LastIndexByte(string(before), '\n') + 1
	return line, 1 + utf8.RuneCount(before[lineStart:])
}

// tooDeep scans for nesting without parsing.
func tooDeep(content []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(content); i++ {
		switch content[i] {
		case '"':
			i = skipText(content, i)
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

// skipComment returns the offset of the last byte of a comment that starts at i.
func skipComment(content []byte, i int) int {
	end, opening := "", 2
	switch {
	case bytes.HasPrefix(content[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(content[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	length := bytes.Index(content[i+opening:], []byte(end))
	if length < 0 {
		return len(content)
	}
	return i + opening + length + len(end) - 1
}

// skipText returns the offset of the quote that ends a text that starts at i.
func skipText(content []byte, i int) int {
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
