package caller

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Request codes that replace the protocol version in the first message.
const (
	codeCancel     = 80877102
	codeGSSEncrypt = 80877104
	codeSSL        = 80877103
)

// protocolMajor is the supported major protocol version.
const protocolMajor = 3

// maxStartupSize limits the size of a startup message in bytes, as in PostgreSQL.
const maxStartupSize = 10000

// Parameter is a startup parameter or setting.
type Parameter struct {
	Name  string
	Value string
}

// Startup is a decoded startup message: a StartupMessage, CancelRequest,
// SSLRequest or GSSENCRequest.
type Startup struct {
	// Code is the protocol version or the request code.
	Code uint32
	// Parameters lists the startup parameters in the order received.
	Parameters []Parameter
	// ProcessID identifies the session to cancel, in a CancelRequest.
	ProcessID uint32
	// Secret is the secret key of a CancelRequest.
	Secret []byte
}

// ReadStartup reads and parses one startup message.
func ReadStartup(r io.Reader) (Startup, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Startup{}, err
	}
	size := int(int32(binary.BigEndian.Uint32(header[:]))) - len(header)
	if size < 4 || size > maxStartupSize {
		return Startup{}, startupError("message has an invalid length")
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return Startup{}, err
	}
	return ParseStartup(body)
}

// ParseStartup parses a startup message without its length.
func ParseStartup(body []byte) (Startup, error) {
	if len(body) < 4 {
		return Startup{}, startupError("message is too short")
	}
	startup := Startup{Code: binary.BigEndian.Uint32(body)}
	rest := body[4:]
	switch startup.Code {
	case codeSSL, codeGSSEncrypt:
		return startup, nil
	case codeCancel:
		if len(rest) < 8 {
			return Startup{}, startupError("cancel request is too short")
		}
		startup.ProcessID = binary.BigEndian.Uint32(rest)
		startup.Secret = rest[4:]
		return startup, nil
	}
	if startup.Code>>16 != protocolMajor {
		return Startup{}, startupError(fmt.Sprintf("protocol version %d.%d is not supported", startup.Code>>16, startup.Code&0xffff))
	}
	parameters, err := parseParameters(string(rest))
	startup.Parameters = parameters
	return startup, err
}

// Get returns the value of a parameter, or the empty string if it is absent.
func (s Startup) Get(name string) string {
	for _, parameter := range s.Parameters {
		if parameter.Name == name {
			return parameter.Value
		}
	}
	return ""
}

// parseOptions parses the "options" parameter, which contains settings of the form
// -c name=value or --name=value. A backslash escapes the next character.
func parseOptions(text string) ([]Parameter, error) {
	words := splitOptions(text)
	var settings []Parameter
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		case strings.HasPrefix(word, "-c") && len(word) > 2:
			word = word[2:]
		default:
			return nil, startupError("options: want -c name=value")
		}
		name, value, found := strings.Cut(word, "=")
		if !found || name == "" {
			return nil, startupError("options: want -c name=value")
		}
		settings = append(settings, Parameter{Name: name, Value: value})
	}
	return settings, nil
}

// parseParameters parses null-terminated names and values up to an empty name.
func parseParameters(text string) ([]Parameter, error) {
	var parameters []Parameter
	for {
		name, rest, found := strings.Cut(text, "\x00")
		if !found {
			return nil, startupError("parameters aren't terminated")
		}
		if name == "" {
			return parameters, nil
		}
		value, rest, found := strings.Cut(rest, "\x00")
		if !found {
			return nil, startupError("parameter has no value")
		}
		parameters = append(parameters, Parameter{Name: name, Value: value})
		text = rest
	}
}

// splitOptions splits text at whitespace that isn't escaped.
func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
			inWord = true
		case c == ' ' || c == '\t' || c == '\n':
			if inWord {
				words = append(words, word.String())
			}
			word.Reset()
			inWord = false
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

func startupError(text string) error {
	return &Error{Op: "start up", Kind: KindProtocol, Err: errors.New(text)}
}
