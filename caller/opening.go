package caller

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/budget"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// maxAuthMessageBytes limits the size of authentication messages.
const maxAuthMessageBytes = 4096

// errCancelRequest ends a connection that only carried a cancel request.
var errCancelRequest = errors.New("the connection only carried a cancel request")

// refusalTimeout limits the time to refuse a connection over MaxSessions. It is
// short because these connections aren't counted.
const refusalTimeout = time.Second

// openSession performs startup and authentication on a connection. If it fails,
// the error was already sent to the caller.
func (s *Server) openSession(conn net.Conn, id budget.ConnID) (*session, error) {
	_ = conn.SetDeadline(s.config.Now().Add(s.config.StartupTimeout))
	conn, startup, err := s.negotiate(conn)
	if err != nil {
		return nil, s.reject(conn, err)
	}
	if s.isDraining() {
		return nil, s.reject(conn, &Error{Op: "start up", Kind: KindNotServing, Err: errors.New("the server is shutting down")})
	}
	session, err := s.newSession(conn, startup)
	if err != nil {
		return nil, s.reject(conn, err)
	}
	if err := session.negotiateVersion(startup); err != nil {
		return nil, err
	}
	if session.key, err = s.authenticate(session); err != nil {
		s.record(workspaceEvent(EventAuthenticationFailed, session.workspace, session.group, ""))
		return nil, s.reject(conn, err)
	}
	session.connID = id
	if !s.startConn(id) {
		return nil, net.ErrClosed
	}
	if err := s.addSession(session); err != nil {
		return nil, s.reject(conn, err)
	}
	if err := session.sendStartupComplete(); err != nil {
		s.removeSession(session)
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return session, nil
}

// authenticate runs the authentication exchange and returns the ID of the matching
// key.
func (s *Server) authenticate(session *session) (KeyID, error) {
	authenticator, err := NewAuthenticator(s.config.Credentials, session.workspace, s.config.MockSecret)
	if err != nil {
		return "", err
	}
	_, isTLS := session.conn.(*tls.Conn)
	if s.config.AllowCleartext && isTLS {
		return authenticateCleartext(session, authenticator)
	}
	return authenticateSCRAM(session, authenticator)
}

func authenticateCleartext(session *session, authenticator *Authenticator) (KeyID, error) {
	if err := session.sendNow(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return "", err
	}
	body, err := session.readAuthMessage()
	if err != nil {
		return "", err
	}
	return authenticator.CheckPassword(strings.TrimSuffix(string(body), "\x00"))
}

func authenticateSCRAM(session *session, authenticator *Authenticator) (KeyID, error) {
	if err := session.sendNow(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}}); err != nil {
		return "", err
	}
	body, err := session.readAuthMessage()
	if err != nil {
		return "", err
	}
	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(body); err != nil || initial.AuthMechanism != "SCRAM-SHA-256" {
		return "", &Error{Op: "authenticate", Kind: KindProtocol, Err: errors.New("malformed SASL response")}
	}
	challenge, err := authenticator.HandleClientFirst(string(initial.Data))
	if err != nil {
		return "", err
	}
	if err := session.sendNow(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return "", err
	}
	if body, err = session.readAuthMessage(); err != nil {
		return "", err
	}
	answer, key, err := authenticator.HandleClientFinal(string(body))
	if err != nil {
		return "", err
	}
	return key, session.sendNow(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
}

// readAuthMessage reads a message of type 'p', which carries a password or SASL
// response.
func (s *session) readAuthMessage() ([]byte, error) {
	frame, err := s.reader.Next()
	if err != nil {
		return nil, err
	}
	if frame.Type != 'p' || frame.Size > maxAuthMessageBytes {
		return nil, &Error{Op: "authenticate", Kind: KindProtocol, Err: errors.New("expected an authentication message")}
	}
	return s.reader.Body()
}

// sendStartupComplete sends the messages that end the startup: AuthenticationOk,
// parameters, the cancel key and ReadyForQuery.
func (s *session) sendStartupComplete() error {
	w := s.acquireWriter()
	defer s.releaseWriter()
	_ = w.Message(&pgproto3.AuthenticationOk{})
	for _, parameter := range s.server.config.Parameters {
		_ = w.Message(&pgproto3.ParameterStatus{Name: parameter.Name, Value: s.reportedValue(parameter)})
	}
	if s.hasToken {
		_ = w.Message(&pgproto3.ParameterStatus{Name: TokenParameter, Value: s.token.String()})
	}
	_ = w.Message(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secret[:]})
	_ = w.Message(&pgproto3.ReadyForQuery{TxStatus: backend.TxIdle})
	return w.Flush()
}

// reportedValue returns the value of a parameter to report to the caller: the value
// it set at startup, if any.
func (s *session) reportedValue(parameter Parameter) string {
	value := parameter.Value
	for _, setting := range s.startupSettings {
		if strings.EqualFold(setting.name, parameter.Name) {
			value = setting.value
		}
	}
	return value
}

// negotiate handles SSL, GSS encryption and cancel requests until the
// StartupMessage of a session arrives. It returns the TLS connection if TLS was
// negotiated.
func (s *Server) negotiate(conn net.Conn) (net.Conn, Startup, error) {
	// A caller may request GSS encryption and TLS once each before the
	// StartupMessage.
	for range 3 {
		startup, err := ReadStartup(conn)
		if err != nil {
			return conn, startup, err
		}
		switch startup.Code {
		case codeCancel:
			s.cancelRequest(startup)
			return conn, startup, errCancelRequest
		case codeGSSEncrypt:
			_, err = conn.Write([]byte{'N'})
		case codeSSL:
			conn, err = s.startTLS(conn)
		default:
			return conn, startup, nil
		}
		if err != nil {
			return conn, startup, err
		}
	}
	return conn, Startup{}, startupError("too many negotiation requests")
}

// cancelRequest cancels a request of a session on this instance, or forwards the
// cancel request to other instances.
func (s *Server) cancelRequest(startup Startup) {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.StartupTimeout)
	defer cancel()
	if s.Cancel(ctx, startup.ProcessID, startup.Secret) || s.config.CancelForwarder == nil {
		return
	}
	_ = s.config.CancelForwarder.ForwardCancel(ctx, startup.ProcessID, startup.Secret)
}

// negotiateVersion tells a caller that requested a newer minor protocol version or
// protocol options that the proxy doesn't support them.
func (s *session) negotiateVersion(startup Startup) error {
	var options []string
	for _, parameter := range startup.Parameters {
		if strings.HasPrefix(parameter.Name, "_pq_.") {
			options = append(options, parameter.Name)
		}
	}
	if startup.Code&0xffff == 0 && options == nil {
		return nil
	}
	return s.sendNow(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: protocolMajor << 16, UnrecognizedOptions: options})
}

// reject sends the error to the caller, if it is an *Error, and returns err.
func (s *Server) reject(conn net.Conn, err error) error {
	var proxyErr *Error
	if !errors.As(err, &proxyErr) {
		return err
	}
	encoded, encodeErr := errorResponse(proxyErr, "FATAL").Encode(nil)
	if encodeErr == nil {
		_, _ = conn.Write(encoded)
	}
	return err
}

// refuseOverLimit refuses a connection over MaxSessions. Cancel requests are still
// served, since callers need them most when all sessions are in use.
func (s *Server) refuseOverLimit(conn net.Conn) {
	_ = conn.SetDeadline(s.config.Now().Add(refusalTimeout))
	conn, _, err := s.negotiate(conn)
	if err == nil {
		err = &Error{Op: "start up", Kind: KindCapacity, Err: errors.New("too many connections")}
	}
	_ = s.reject(conn, err)
}

// startTLS answers an SSLRequest and performs the TLS handshake if TLS is
// configured and not yet in use.
func (s *Server) startTLS(conn net.Conn) (net.Conn, error) {
	var config *tls.Config
	if _, isTLS := conn.(*tls.Conn); s.config.TLS != nil && !isTLS {
		config = s.config.TLS()
	}
	if config == nil {
		_, err := conn.Write([]byte{'N'})
		return conn, err
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	tlsConn := tls.Server(conn, config)
	return tlsConn, tlsConn.Handshake()
}

// newSession creates a session from the parameters of a StartupMessage.
func (s *Server) newSession(conn net.Conn, startup Startup) (*session, error) {
	session := &session{
		startedAt: s.config.Now(),
		conn:      conn,
		output:    callerWriter{conn: conn, timeout: s.config.WriteTimeout},
		prepared:  make(map[string]*preparedStatement),
		reader:    backend.NewFrameReader(conn, readBufferSize, s.config.MaxMessage),
		server:    s,
		txStatus:  backend.TxIdle,
		workspace: fleet.WorkspaceID(startup.Get("user")),
	}
	session.database = cmp.Or(fleet.GroupID(startup.Get("database")), fleet.GroupID(session.workspace))
	session.group = session.route().Group
	if session.workspace == "" {
		return nil, startupError("no user name given")
	}
	options, err := parseOptions(startup.Get("options"))
	if err != nil {
		return nil, err
	}
	for _, parameter := range append(options, startup.Parameters...) {
		if err := session.startupParameter(parameter); err != nil {
			return nil, err
		}
	}
	session.settings = session.startupSettings
	session.settingsSQL = settingsToSQL(session.settings)
	return session, nil
}

// startupParameter applies one startup parameter to the session.
func (s *session) startupParameter(parameter Parameter) error {
	name := strings.ToLower(parameter.Name)
	switch {
	case name == "user", name == "database", name == "options", name == "application_name":
		return nil
	case strings.HasPrefix(name, "_pq_."):
		return nil
	case name == "replication":
		return &Error{Op: "start up", Kind: KindUnsupported, Err: errors.New("replication connections aren't supported")}
	case strings.HasPrefix(name, proxySettingPrefix):
		return s.applyProxySetting(name, parameter.Value)
	case !isSettingName(name):
		return &Error{Op: "start up", Kind: KindInvalidParameter, Err: fmt.Errorf("start-up parameter %q isn't a setting", name)}
	case isRefusedSetting(name):
		return &Error{Op: "start up", Kind: KindUnsupported, Err: fmt.Errorf("setting %s isn't supported over shared connections", name)}
	}
	sql := "SET " + name + " TO '" + strings.ReplaceAll(parameter.Value, "'", "''") + "'"
	s.startupSettings = append(s.startupSettings, setting{name: name, sql: sql, value: parameter.Value})
	return nil
}
