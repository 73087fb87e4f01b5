package document

import (
	"reflect"
	"strings"
)

// maxSuggestDistance is the maximum edit distance between an unknown key and a
// suggested key. With a larger distance the suggestions are unrelated to the key.
const maxSuggestDistance = 3

// maxSuggestLength is the maximum length of a key for which a suggestion is made. It
// limits the cost of the comparison.
const maxSuggestLength = 64

// unknownKeyMessage returns the message for an unknown key. It suggests the field
// with the most similar name.
func unknownKeyMessage(name string, structType reflect.Type) string {
	best, bestDistance := "", maxSuggestDistance+1
	for i := range structType.NumField() {
		known := structType.Field(i).Name
		if distance := editDistance(strings.ToLower(name), strings.ToLower(known)); distance < bestDistance {
			best, bestDistance = known, distance
		}
	}
	if best == "" {
		return "unknown key"
	}
	return "unknown key, did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance. If a is too long to be compared, it
// returns the length of a.
func editDistance(a, b string) int {
	if len(a) > maxSuggestLength {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
