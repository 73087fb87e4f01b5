package sheet

import (
	"encoding/base32"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	// keyIDBytes gives ids of 8 characters, enough to tell the keys of a
	// workspace apart.
	keyIDBytes = 5
	// keySecretBytes gives secrets of 160 bits, so that a verifier cannot be
	// searched for its key whatever the iteration count.
	keySecretBytes = 20
	// saltBytes is the length of a generated salt; RFC 5802 leaves it open and
	// PostgreSQL uses 16.
	saltBytes = 16
)

// DefaultIterations is the iteration count of new workspaces.
const DefaultIterations = minIterations

var keyEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// GeneratedKey is a new key with its verifier. The key is shown once and kept
// nowhere.
type GeneratedKey struct {
	Iterations int
	// Key is the secret for the caller.
	Key string
	// Salt is in base64.
	Salt string
	// Verifier goes into the sheet.
	Verifier Key
}

// GenerateKey returns a new key for a workspace with the given salt (base64)
// and iteration count.
func GenerateKey(random io.Reader, salt string, iterations int) (GeneratedKey, error) {
	const op = "generate key"
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(rawSalt) == 0 {
		return GeneratedKey{}, &Error{Err: fmt.Errorf("salt %q is not base64", Redact(salt)), Kind: KindSalt, Op: op}
	}
	if iterations < minIterations || iterations > maxIterations {
		return GeneratedKey{}, &Error{Err: fmt.Errorf("%d iterations, accepted: %d to %d", iterations, minIterations, maxIterations), Kind: KindSalt, Op: op}
	}
	secret := make([]byte, keyIDBytes+keySecretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return GeneratedKey{}, &Error{Err: err, Kind: KindRandom, Op: op}
	}
	id := keyEncoding.EncodeToString(secret[:keyIDBytes])
	key := strings.Join([]string{"npk", id, keyEncoding.EncodeToString(secret[keyIDBytes:])}, "_")
	verifier, err := deriveVerifier(id, key, rawSalt, iterations)
	if err != nil {
		return GeneratedKey{}, &Error{Err: err, Kind: KindSalt, Op: op}
	}
	return GeneratedKey{Iterations: iterations, Key: key, Salt: salt, Verifier: verifier}, nil
}

// GenerateSalt returns a new salt in base64.
func GenerateSalt(random io.Reader) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := io.ReadFull(random, salt); err != nil {
		return "", &Error{Err: err, Kind: KindRandom, Op: "generate salt"}
	}
	return base64.StdEncoding.EncodeToString(salt), nil
}

// deriveVerifier derives the SCRAM-SHA-256 verifier of a key. The user name is
// not part of it.
func deriveVerifier(id, key string, salt []byte, iterations int) (Key, error) {
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return Key{}, err
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Iters: iterations, Salt: string(salt)})
	if err != nil {
		return Key{}, err
	}
	return Key{
		KeyID:     id,
		ServerKey: base64.StdEncoding.EncodeToString(stored.ServerKey),
		StoredKey: base64.StdEncoding.EncodeToString(stored.StoredKey),
	}, nil
}
