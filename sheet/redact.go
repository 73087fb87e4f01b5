package sheet

import "regexp"

// redactedKey replaces a key in text.
const redactedKey = "npk_[redacted]"

// keyPattern also matches a key that was cut off, so that no part of a secret
// remains.
var keyPattern = regexp.MustCompile(`(?i)npk_[A-Za-z0-9_-]+`)

// Redact replaces all that looks like a key in the text.
func Redact(text string) string {
	return keyPattern.ReplaceAllLiteralString(text, redactedKey)
}
