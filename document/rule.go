package document

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Format is the accepted format of a string value. Its text describes the format to
// users.
type Format string

// Formats of string values.
const (
	// FormatAddress is an IP address and a port.
	FormatAddress Format = "IP:port"
	// FormatAny is any string that is not empty.
	FormatAny Format = "text"
	// FormatBase64 is standard base64 with padding.
	FormatBase64 Format = "base64"
	// FormatBase64SHA256 is a SHA-256 digest in standard base64 with padding.
	FormatBase64SHA256 Format = "base64 of 32 bytes"
	// FormatName is a short name of letters, digits, dot, hyphen and underscore.
	FormatName Format = "1 to 63 of A-Z a-z 0-9 . _ -, first a letter or digit"
	// FormatPath is the path of a file.
	FormatPath Format = "file path"
	// FormatSHA256 is a SHA-256 digest in hexadecimal.
	FormatSHA256 Format = "64 hexadecimal digits"
	// FormatTime is a time in RFC 3339 format.
	FormatTime Format = "RFC 3339 time"
	// FormatURL is an http or https URL.
	FormatURL Format = "http:// or https:// URL"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Rule defines the default and the accepted values of a key.
type Rule struct {
	// Choices lists the accepted strings. If it is empty, Format applies.
	Choices []string
	// Default is the text form of the value for a missing key. Empty means the zero
	// value.
	Default string
	// Format is the accepted format of a string value.
	Format Format
	// Max is the largest accepted number. Durations are in nanoseconds.
	Max float64
	// Min is the smallest accepted number. Durations are in nanoseconds. If Min and
	// Max are both zero, all numbers are accepted.
	Min float64
	// Path is the key path with "[]" in place of each list index.
	Path string
	// Required is true if the key must be present and must not be empty.
	Required bool
	// Secret is true if problems must not contain the value.
	Secret bool
}

// Accepted describes the accepted values to users. IsDuration is true if the value is
// a duration.
func (r Rule) Accepted(isDuration bool) string {
	switch {
	case len(r.Choices) > 0:
		return strings.Join(r.Choices, ", ")
	case isDuration && r.isBounded():
		return time.Duration(r.Min).String() + " to " + time.Duration(r.Max).String()
	case r.isBounded():
		return formatNumber(r.Min) + " to " + formatNumber(r.Max)
	default:
		return string(r.Format)
	}
}

func (r Rule) isBounded() bool {
	return r.Min != 0 || r.Max != 0
}

func (r Rule) acceptsNumber(number float64) bool {
	return !r.isBounded() || (number >= r.Min && number <= r.Max)
}

func (r Rule) acceptsText(text string) bool {
	if text == "" {
		return !r.Required
	}
	if len(r.Choices) > 0 {
		for _, choice := range r.Choices {
			if text == choice {
				return true
			}
		}
		return false
	}
	return r.Format.accepts(text)
}

func (f Format) accepts(text string) bool {
	switch f {
	case FormatAddress:
		_, err := netip.ParseAddrPort(text)
		return err == nil
	case FormatBase64:
		_, err := base64.StdEncoding.DecodeString(text)
		return err == nil
	case FormatBase64SHA256:
		sum, err := base64.StdEncoding.DecodeString(text)
		return err == nil && len(sum) == sha256.Size
	case FormatName:
		return namePattern.MatchString(text)
	case FormatSHA256:
		sum, err := hex.DecodeString(text)
		return err == nil && len(sum) == sha256.Size
	case FormatTime:
		_, err := time.Parse(time.RFC3339, text)
		return err == nil
	case FormatURL:
		u, err := url.Parse(text)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	default:
		return true
	}
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}
