package caller

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Request codes that take the place of a protocol version.
const (
	codeCancel     = 80877102
	codeGSSEncrypt = 80877104
	codeSSL        = 80877103
)

// protocolMajor is the major protocol version that callers must speak.
const protocolMajor = 3

// maxStartupSize bounds a start-up message in bytes, as PostgreSQL does.
const maxStartupSize = 10000

// Parameter is one start-up parameter or setting.
type Parameter struct {
	Name  string
	Value string
}

// Startup is the first message of a caller.
type Startup struct {
	// Code is the protocol version or a request code.
	Code uint32
	// Parameters lists the parameters in the order they came.
	Parameters []Parameter
	// ProcessID is the session that a cancel request names.
	ProcessID uint32
	// Secret is the secret of a cancel request.
	Secret []byte
}

// ReadStartup reads one start-up message.
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

// ParseStartup parses the body of a start-up message.
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

// Get returns the value of a parameter, or the empty string.
func (s Startup) Get(name string) string {
	for _, parameter := range s.Parameters {
		if parameter.Name == name {
			return parameter.Value
		}
	}
	return ""
}

// parseOptions splits the "options" parameter into the settings that it names
// with -c name=value or --name=value. A backslash escapes the next character.
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
