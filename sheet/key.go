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
	// keyIDBytes is the number of random bytes in a key ID. 5 bytes give an ID of
	// 8 characters, which is enough to distinguish the keys of a workspace.
	keyIDBytes = 5
	// keySecretBytes is the number of random bytes in the secret part of a key.
	// With 160 bits a key cannot be recovered from its verifier by brute force,
	// even with a low iteration count.
	keySecretBytes = 20
	// saltBytes is the length of a generated salt. RFC 5802 does not specify it.
	// PostgreSQL uses 16.
	saltBytes = 16
)

// DefaultIterations is the SCRAM iteration count of new workspaces.
const DefaultIterations = minIterations

var keyEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// GeneratedKey is a new key with its verifier. The key is printed once and is not
// stored.
type GeneratedKey struct {
	Iterations int
	// Key is the secret that the caller authenticates with.
	Key string
	// Salt is in base64.
	Salt string
	// Verifier is the entry for the sheet.
	Verifier Key
}

// GenerateKey returns a new key for a workspace with the given salt, in base64, and
// iteration count.
func GenerateKey(random io.Reader, salt string, iterations int) (GeneratedKey, error) {
	const op = "generate key"
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(rawSalt) == 0 {
		return GeneratedKey{}, &Error{Err: fmt.Errorf("salt %q is not base64 or is empty", Redact(salt)), Kind: KindSalt, Op: op}
	}
	if iterations < minIterations || iterations > maxIterations {
		return GeneratedKey{}, &Error{Err: fmt.Errorf("iteration count %d is out of range, accepted: %d to %d", iterations, minIterations, maxIterations), Kind: KindSalt, Op: op}
	}
	randomBytes := make([]byte, keyIDBytes+keySecretBytes)
	if _, err := io.ReadFull(random, randomBytes); err != nil {
		return GeneratedKey{}, &Error{Err: err, Kind: KindRandom, Op: op}
	}
	id := keyEncoding.EncodeToString(randomBytes[:keyIDBytes])
	key := strings.Join([]string{"npk", id, keyEncoding.EncodeToString(randomBytes[keyIDBytes:])}, "_")
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

// deriveVerifier derives the SCRAM-SHA-256 verifier of a key. The verifier does not
// depend on the user name.
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
