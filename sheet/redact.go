package sheet

import "regexp"

// redactedKey is the text that replaces a key.
const redactedKey = "npk_[redacted]"

// keyPattern matches a key. It also matches a truncated key, so that no part of a
// secret remains after redaction.
var keyPattern = regexp.MustCompile(`(?i)npk_[A-Za-z0-9_-]+`)

// Redact replaces everything in the text that looks like a key.
func Redact(text string) string {
	return keyPattern.ReplaceAllLiteralString(text, redactedKey)
}
