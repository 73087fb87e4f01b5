package caller

import "github.com/nutmegpier/nutmegpier/fleet"

// KeyID names a key of a workspace. It isn't secret.
type KeyID string

// Credential is the SCRAM-SHA-256 verifier of one key.
type Credential struct {
	// KeyID names the key.
	KeyID KeyID
	// ServerKey is the server key of the verifier, 32 bytes.
	ServerKey []byte
	// StoredKey is the stored key of the verifier, 32 bytes.
	StoredKey []byte
}

// Verifiers holds the credentials of one workspace. All share salt and
// iteration count, so that one SCRAM exchange can match any of them.
type Verifiers struct {
	// Credentials lists the keys that are valid now.
	Credentials []Credential
	// Iterations is the iteration count.
	Iterations int
	// Salt is the salt in raw bytes.
	Salt []byte
}

// Credentials knows the keys of workspaces.
type Credentials interface {
	// KeyValid reports whether a key is still valid. It is asked before each request.
	KeyValid(workspace fleet.WorkspaceID, key KeyID) bool
	// Verifiers returns the verifiers of a workspace, and false if there is none.
	Verifiers(workspace fleet.WorkspaceID) (Verifiers, bool)
}
