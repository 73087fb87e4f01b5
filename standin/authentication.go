package standin

import (
	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// scramMechanism is the SASL mechanism that the server offers.
const scramMechanism = "SCRAM-SHA-256"

// Parameters of the SCRAM credentials that the server derives from the password.
const (
	scramIterations = 4096
	scramSalt       = "nutmegpier-stand"
)

// authenticate checks the user name and password with the configured method.
func (c *session) authenticate(user string) error {
	options := c.server.group.options
	if options.Authentication != AuthenticationTrust && user != options.User {
		return newSQLError(codeAuthentication, "password authentication failed")
	}
	switch options.Authentication {
	case AuthenticationCleartext:
		return c.checkCleartext(options.Password)
	case AuthenticationSCRAM:
		return c.checkSCRAM(user, options.Password)
	}
	return nil
}

func (c *session) checkCleartext(password string) error {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return errClosed
	}
	if err := c.flush(); err != nil {
		return err
	}
	message, err := c.backend.Receive()
	if err != nil {
		return errClosed
	}
	response, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return newSQLError(codeProtocol, "expected a password message")
	}
	if subtle.ConstantTimeCompare([]byte(response.Password), []byte(password)) != 1 {
		return newSQLError(codeAuthentication, "password authentication failed")
	}
	return nil
}

func (c *session) checkSCRAM(user, password string) error {
	conversation, err := newSCRAMConversation(user, password)
	if err != nil {
		return newSQLError(codeInternal, "SCRAM set-up failed")
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := receiveAuth[*pgproto3.SASLInitialResponse](c, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	response, err := conversation.Step(string(first.Data))
	if err != nil {
		return newSQLError(codeAuthentication, "password authentication failed")
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(response)})
	second, err := receiveAuth[*pgproto3.SASLResponse](c, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	response, err = conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() {
		return newSQLError(codeAuthentication, "password authentication failed")
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(response)})
	return nil
}

// newSCRAMConversation starts the server side of a SCRAM exchange. It ignores
// the user name inside the SCRAM messages, because PostgreSQL clients leave it
// empty there.
func newSCRAMConversation(user, password string) (*scram.ServerConversation, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, err
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Iters: scramIterations, Salt: scramSalt})
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}

// receiveAuth flushes the buffered messages and receives an authentication
// message of the given type.
func receiveAuth[M pgproto3.FrontendMessage](c *session, authType uint32) (M, error) {
	var none M
	if err := c.backend.SetAuthType(authType); err != nil {
		return none, errClosed
	}
	if err := c.flush(); err != nil {
		return none, err
	}
	message, err := c.backend.Receive()
	if err != nil {
		return none, errClosed
	}
	m, ok := message.(M)
	if !ok {
		return none, newSQLError(codeProtocol, "unexpected authentication message")
	}
	return m, nil
}
