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

// mockIterations is the iteration count shown for unknown workspaces.
const mockIterations = 4096

// Authenticator checks the key of one caller. Unknown workspaces get a mock
// salt, so that they can't be told from known ones.
type Authenticator struct {
	conversations []*scram.ServerConversation
	verifiers     Verifiers
}

// NewAuthenticator returns an authenticator for one attempt of a workspace.
// The mock secret makes the mock salts; it must be the same on all instances.
func NewAuthenticator(credentials Credentials, workspace fleet.WorkspaceID, mockSecret []byte) (*Authenticator, error) {
	verifiers, known := credentials.Verifiers(workspace)
	if !known || len(verifiers.Credentials) == 0 {
		verifiers = mockVerifiers(workspace, mockSecret, verifiers)
	}
	a := &Authenticator{verifiers: verifiers}
	nonce := newNonce()
	for _, credential := range verifiers.Credentials {
		server, err := scram.SHA256.NewServer(a.lookup(credential))
		if err != nil {
			return nil, &Error{Op: "authenticate", Kind: KindAuthentication, Err: errors.New("authentication can't start")}
		}
		server = server.WithNonceGenerator(func() string { return nonce })
		a.conversations = append(a.conversations, server.NewConversation())
	}
	return a, nil
}

// Final takes the caller's last SCRAM message. It returns the server's last
// message and the key that matched.
func (a *Authenticator) HandleClientFinal(message string) (answer string, key KeyID, err error) {
	matched := -1
	for i, conversation := range a.conversations {
		// Each conversation runs to its end, so that the time taken doesn't
		// tell which key matched.
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

// First takes the caller's first SCRAM message and returns the challenge.
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

// Password checks a key that came in cleartext and returns which one it is.
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

func (a *Authenticator) lookup(credential Credential) scram.CredentialLookup {
	return func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(a.verifiers.Salt), Iters: a.verifiers.Iterations},
			ServerKey:  credential.ServerKey,
			StoredKey:  credential.StoredKey,
		}, nil
	}
}

// authenticationError is the same for each cause, so that it tells nothing.
func authenticationError() error {
	return &Error{Op: "authenticate", Kind: KindAuthentication, Err: errors.New("authentication failed")}
}

func mockVerifiers(workspace fleet.WorkspaceID, secret []byte, real Verifiers) Verifiers {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(workspace))
	salt := mac.Sum(nil)[:16]
	iterations := mockIterations
	if len(real.Salt) > 0 {
		salt, iterations = real.Salt, real.Iterations
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
