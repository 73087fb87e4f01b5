package document

import (
	"reflect"
	"strings"
)

// maxSuggestDistance is the largest number of edits between an unknown key and
// a suggestion. More edits give suggestions that have little to do with the key.
const maxSuggestDistance = 3

// maxSuggestLength bounds the keys that are compared.
const maxSuggestLength = 64

func unknownKey(name string, structure reflect.Type) string {
	best, bestDistance := "", maxSuggestDistance+1
	for i := range structure.NumField() {
		known := structure.Field(i).Name
		if distance := editDistance(strings.ToLower(name), strings.ToLower(known)); distance < bestDistance {
			best, bestDistance = known, distance
		}
	}
	if best == "" {
		return "unknown key"
	}
	return "unknown key, did you mean " + best + "?"
}

// editDistance is the Levenshtein distance.
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
