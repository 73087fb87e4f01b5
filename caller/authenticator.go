package caller

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"

	"github.com/xdg-go/scram"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// mockIterations is the SCRAM iteration count sent to callers of unknown
// workspaces.
const mockIterations = 4096

// Authenticator authenticates one connection attempt. For unknown workspaces it
// runs the exchange with a mock salt, so that an attacker can't find out which
// workspaces exist.
type Authenticator struct {
	conversations []*scram.ServerConversation
	verifiers     Verifiers
}

// NewAuthenticator returns an authenticator for one connection attempt. The salts
// of unknown workspaces are derived from mockSecret, which must be the same on all
// instances: an existing workspace has the same salt everywhere.
func NewAuthenticator(credentials Credentials, workspace fleet.WorkspaceID, mockSecret []byte) (*Authenticator, error) {
	verifiers, known := credentials.Verifiers(workspace)
	if !known || len(verifiers.Credentials) == 0 {
		verifiers = mockVerifiers(workspace, mockSecret, verifiers)
	}
	a := &Authenticator{verifiers: verifiers}
	nonce := newNonce()
	for _, credential := range verifiers.Credentials {
		server, err := scram.SHA256.NewServer(a.credentialLookup(credential))
		if err != nil {
			return nil, &Error{Op: "authenticate", Kind: KindAuthentication, Err: errors.New("authentication can't start")}
		}
		server = server.WithNonceGenerator(func() string { return nonce })
		a.conversations = append(a.conversations, server.NewConversation())
	}
	return a, nil
}

// HandleClientFinal processes the SCRAM client-final-message. It returns the
// server-final-message and the ID of the matching key.
func (a *Authenticator) HandleClientFinal(message string) (answer string, key KeyID, err error) {
	matched := -1
	for i, conversation := range a.conversations {
		// All conversations run to the end, so that the response time doesn't
		// reveal which key matched.
		text, stepErr := conversation.Step(message)
		if stepErr == nil && conversation.Valid() && a.verifiers.Credentials[i].KeyID != "" {
			answer, matched = text, i
		}
	}
	if matched < 0 {
		return "", "", authenticationError()
	}
	return answer, a.verifiers.Credentials[matched].KeyID, nil
}

// HandleClientFirst processes the SCRAM client-first-message and returns the
// server-first-message with the challenge.
func (a *Authenticator) HandleClientFirst(message string) (string, error) {
	var challenge string
	for _, conversation := range a.conversations {
		text, err := conversation.Step(message)
		if err != nil {
			return "", authenticationError()
		}
		challenge = text
	}
	return challenge, nil
}

// CheckPassword checks a key that was sent in cleartext and returns the ID of the
// matching key.
func (a *Authenticator) CheckPassword(password string) (KeyID, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", authenticationError()
	}
	factors := scram.KeyFactors{Salt: string(a.verifiers.Salt), Iters: a.verifiers.Iterations}
	stored, err := client.WithMinIterations(1).GetStoredCredentialsWithError(factors)
	if err != nil {
		return "", authenticationError()
	}
	var matched KeyID
	for _, credential := range a.verifiers.Credentials {
		if subtle.ConstantTimeCompare(stored.StoredKey, credential.StoredKey) == 1 {
			matched = credential.KeyID
		}
	}
	if matched == "" {
		return "", authenticationError()
	}
	return matched, nil
}

// credentialLookup returns a SCRAM lookup function that always finds this
// credential, whatever the user name is.
func (a *Authenticator) credentialLookup(credential Credential) scram.CredentialLookup {
	return func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(a.verifiers.Salt), Iters: a.verifiers.Iterations},
			ServerKey:  credential.ServerKey,
			StoredKey:  credential.StoredKey,
		}, nil
	}
}

// authenticationError returns the same error for every cause, so that it doesn't
// reveal whether the workspace or the key was wrong.
func authenticationError() error {
	return &Error{Op: "authenticate", Kind: KindAuthentication, Err: errors.New("authentication failed")}
}

// mockVerifiers returns verifiers that no key matches. They have the salt and
// iteration count of the workspace if it has any, else a salt derived from the
// workspace's name.
func mockVerifiers(workspace fleet.WorkspaceID, mockSecret []byte, existing Verifiers) Verifiers {
	mac := hmac.New(sha256.New, mockSecret)
	mac.Write([]byte(workspace))
	salt := mac.Sum(nil)[:16]
	iterations := mockIterations
	if len(existing.Salt) > 0 {
		salt, iterations = existing.Salt, existing.Iterations
	}
	return Verifiers{
		Credentials: []Credential{{ServerKey: randomBytes(sha256.Size), StoredKey: randomBytes(sha256.Size)}},
		Iterations:  iterations,
		Salt:        salt,
	}
}

func newNonce() string {
	return base64.StdEncoding.EncodeToString(randomBytes(18))
}

func randomBytes(n int) []byte {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return raw
}
