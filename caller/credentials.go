package caller

import "github.com/nutmegpier/nutmegpier/fleet"

// KeyID identifies a key of a workspace. It isn't secret.
type KeyID string

// Credential is the SCRAM-SHA-256 verifier of one key.
type Credential struct {
	// KeyID identifies the key.
	KeyID KeyID
	// ServerKey is the SCRAM ServerKey, 32 bytes.
	ServerKey []byte
	// StoredKey is the SCRAM StoredKey, 32 bytes.
	StoredKey []byte
}

// Verifiers holds the credentials of one workspace. All keys share the salt and the
// iteration count, so that one SCRAM exchange can match any of them.
type Verifiers struct {
	// Credentials lists the currently valid keys.
	Credentials []Credential
	// Iterations is the SCRAM iteration count.
	Iterations int
	// Salt is the decoded salt.
	Salt []byte
}

// Credentials looks up the keys of workspaces.
type Credentials interface {
	// KeyValid reports whether a key is still valid. It is called before each
	// request.
	KeyValid(workspace fleet.WorkspaceID, key KeyID) bool
	// Verifiers returns the verifiers of a workspace, and false if the workspace is
	// unknown.
	Verifiers(workspace fleet.WorkspaceID) (Verifiers, bool)
}
