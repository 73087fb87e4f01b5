package backend

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// ApplicationName is the application name of all session connections. It is fixed,
// so that backend servers see no information about callers.
const ApplicationName = "nutmegpier"

// Defaults of a connection.
const (
	defaultAnswerTimeout  = time.Minute
	defaultConnectTimeout = 3 * time.Second
	defaultMaxMessageSize = 1 << 30
	readBufferSize        = 16 << 10
	writeBufferSize       = 16 << 10
	// maxBufferedBodySize is the size up to which CopyTo reads a body completely
	// before it writes the message.
	maxBufferedBodySize = 8 << 10
)

// positionParameter is the name of the ParameterStatus in which a server reports
// its log position.
const positionParameter = "group_position"

// Transaction states in ReadyForQuery messages.
const (
	TxFailed byte = 'E'
	TxIdle   byte = 'I'
	TxOpen   byte = 'T'
)

// ConnConfig holds the settings of a connection to a backend server.
type ConnConfig struct {
	// Address is the host and port of the server.
	Address string
	// AnswerTimeout bounds each wait for data of a response, and each write. Zero
	// means one minute.
	AnswerTimeout time.Duration
	// ConnectTimeout bounds connecting and authentication. Zero means 3 s.
	ConnectTimeout time.Duration
	// Database is the database to connect to.
	Database string
	// Dial opens the network connection. Nil means TCP.
	Dial Dial
	// Password is the proxy's own password. It may be empty.
	Password string
	// Server is the ID of the server.
	Server fleet.ServerID
	// User is the proxy's own user name.
	User string
}

// Conn is one session connection to a backend server. It isn't safe for
// concurrent use, except for Cancel and Close.
type Conn struct {
	// body is the body of the current message if bodyRead is set.
	body     []byte
	bodyRead bool
	broken   bool
	config   ConnConfig
	// frame is the header of the current message.
	frame Frame
	// pendingReady is the number of outstanding ReadyForQuery messages.
	pendingReady int
	// positionReported is true if position was reported since BeginRequest.
	positionReported bool
	net              net.Conn
	// pid and cancelKey identify the connection in a cancel request.
	pid      uint32
	position fleet.Position
	// rawConn, peekErr and peekFunc are used by Alive. rawConn is nil if the
	// network connection is not a socket.
	rawConn  syscall.RawConn
	peekErr  error
	peekFunc func(fd uintptr) bool
	// prepared holds the names of the prepared statements on the connection.
	prepared map[string]struct{}
	// settings is the SQL that produced the current settings, empty for the
	// defaults, or unknownSettings.
	settings string
	reader   *FrameReader
	// established is true after the startup, which has a deadline of its own.
	established bool
	cancelKey   []byte
	// stateChanged is true if the session state must be discarded before another
	// owner uses the connection.
	stateChanged bool
	owner        uint64
	txStatus     byte
	// unnamedStatement is the key of the unnamed prepared statement, or empty.
	unnamedStatement string
	// unsynced is true if messages were sent whose Sync has not been answered.
	unsynced bool
	writer   *FrameWriter
}

// Connect opens a connection and authenticates with the proxy's own credentials.
// Errors are of type *Error.
func Connect(ctx context.Context, config ConnConfig) (*Conn, error) {
	config = config.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, config.ConnectTimeout)
	defer cancel()
	netConn, err := config.Dial(ctx, "tcp", config.Address)
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindConnection, Err: err}
	}
	c := &Conn{
		config:   config,
		net:      netConn,
		prepared: make(map[string]struct{}),
		reader:   NewFrameReader(netConn, readBufferSize, defaultMaxMessageSize),
		writer:   NewFrameWriter(netConn, writeBufferSize),
	}
	deadline, _ := ctx.Deadline()
	_ = netConn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = netConn.Close() })
	err = c.startUp()
	if !stop() && err == nil {
		err = &Error{Op: "connect", Kind: KindConnection, Err: ctx.Err()}
	}
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	_ = netConn.SetDeadline(time.Time{})
	c.established = true
	c.preparePeek()
	return c, nil
}

// Alive reports whether an idle connection is still open, as far as is known
// locally. It doesn't block. If the server closed the connection while it was idle,
// using it for a write would leave the outcome of that write unknown.
func (c *Conn) Alive() bool {
	if c.rawConn == nil {
		return true
	}
	if err := c.rawConn.Read(c.peekFunc); err != nil {
		return false
	}
	return errors.Is(c.peekErr, syscall.EAGAIN)
}

// BeginRequest must be called before sending a request that the server answers
// with one final ReadyForQuery.
func (c *Conn) BeginRequest() {
	c.pendingReady++
	c.positionReported = false
}

// BeginUnsyncedRequest must be called before sending extended query messages that
// end in a Flush instead of a Sync. The connection can't be reused until a later
// Sync has been answered.
func (c *Conn) BeginUnsyncedRequest() {
	c.unsynced = true
}

// Body returns the body of the current message. It is valid until Next.
func (c *Conn) Body() ([]byte, error) {
	if c.bodyRead {
		return c.body, nil
	}
	body, err := c.reader.Body()
	if err != nil {
		return nil, c.fail("read", err)
	}
	c.body, c.bodyRead = body, true
	return body, nil
}

// Buffered reports whether received data is waiting in the buffer.
func (c *Conn) Buffered() bool {
	return c.reader.Buffered() > 0
}

// Cancel sends a cancel request for the running statement over a second network
// connection. It returns once the server has closed that connection, which means
// that the server has processed the request. If the statement has already ended,
// the request may cancel the next one, so another session must not reuse the
// connection.
func (c *Conn) Cancel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	netConn, err := c.config.Dial(ctx, "tcp", c.config.Address)
	if err != nil {
		return &Error{Op: "cancel", Kind: KindConnection, Err: err}
	}
	defer netConn.Close()
	deadline, _ := ctx.Deadline()
	_ = netConn.SetDeadline(deadline)
	request, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.cancelKey}).Encode(nil)
	if err != nil {
		return &Error{Op: "cancel", Kind: KindProtocol, Err: err}
	}
	if _, err := netConn.Write(request); err != nil {
		return &Error{Op: "cancel", Kind: KindConnection, Err: err}
	}
	_, _ = io.Copy(io.Discard, netConn)
	return nil
}

// Close closes the connection without sending Terminate.
func (c *Conn) Close() error {
	return c.net.Close()
}

// CopyTo writes the current message to w. After an error, w.Err tells whether the
// destination or the connection failed, and Truncated whether part of the message
// was written.
func (c *Conn) CopyTo(w *FrameWriter) error {
	if !c.bodyRead && c.frame.Size <= maxBufferedBodySize {
		if _, err := c.Body(); err != nil {
			return err
		}
	}
	if !c.bodyRead {
		err := c.reader.CopyTo(w)
		if err != nil && w.Err() == nil {
			return c.fail("read", err)
		}
		return err
	}
	var header [frameHeaderSize]byte
	putHeader(header[:], c.frame)
	if err := w.Raw(header[:]); err != nil {
		return err
	}
	return w.Raw(c.body)
}

// Exec runs one simple query and discards its rows. If the server responds with an
// error, Exec returns an *Error of KindServer with the SQLSTATE, and the connection
// stays usable.
func (c *Conn) Exec(sql string) error {
	c.BeginRequest()
	c.unnamedStatement = ""
	if err := c.writer.Message(&pgproto3.Query{String: sql}); err != nil {
		return c.fail("exec", err)
	}
	if err := c.Flush(); err != nil {
		return err
	}
	var failure error
	for {
		frame, err := c.Next()
		if err != nil {
			return err
		}
		switch frame.Type {
		case 'E':
			failure = c.serverError("exec")
		case 'Z':
			return failure
		}
	}
}

// Flush sends the buffered data.
func (c *Conn) Flush() error {
	_ = c.net.SetWriteDeadline(time.Now().Add(c.config.AnswerTimeout))
	if err := c.writer.Flush(); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// FlushAsync sends the data written since HoldWrites in the background, while the
// caller reads responses. The result is sent on the channel. Until then nothing
// else may be written.
func (c *Conn) FlushAsync() <-chan error {
	sent := make(chan error, 1)
	data := c.writer.detach(writeBufferSize)
	_ = c.net.SetWriteDeadline(time.Now().Add(c.config.AnswerTimeout))
	go func() {
		_, err := c.net.Write(data)
		sent <- err
	}()
	return sent
}

// HoldWrites keeps all written data in memory until FlushAsync. Otherwise a long
// pipeline could deadlock: the server stops reading until its responses are read,
// and the sender blocks before it reads them.
func (c *Conn) HoldWrites() {
	c.writer.unbounded = true
}

// ReportedPosition returns the last position that the server reported, and whether
// it was reported since BeginRequest.
func (c *Conn) ReportedPosition() (fleet.Position, bool) {
	return c.position, c.positionReported
}

// Next reads the header of the next message, and updates the reported position and
// the transaction state. After an error the connection is broken.
func (c *Conn) Next() (Frame, error) {
	c.body, c.bodyRead = nil, false
	if c.established && c.reader.Buffered() == 0 {
		_ = c.net.SetReadDeadline(time.Now().Add(c.config.AnswerTimeout))
	}
	frame, err := c.reader.Next()
	if err != nil {
		return Frame{}, c.fail("read", err)
	}
	c.frame = frame
	switch frame.Type {
	case 'S':
		return frame, c.trackParameter()
	case 'Z':
		return frame, c.trackReady()
	}
	return frame, nil
}

// Reusable reports whether another request may use the connection: it is not
// broken, outside a transaction, and has no outstanding responses.
func (c *Conn) Reusable() bool {
	return !c.broken && !c.unsynced && c.pendingReady == 0 && c.txStatus == TxIdle && c.reader.Buffered() == 0
}

// Send appends raw bytes to the data that Flush sends.
func (c *Conn) Send(p []byte) error {
	if err := c.writer.Raw(p); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// SendFrom appends the current message of a reader to the data that Flush sends.
// Errors of the connection are of type *Error; errors of the reader are returned
// unchanged.
func (c *Conn) SendFrom(reader *FrameReader) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(c.config.AnswerTimeout))
	err := reader.CopyTo(c.writer)
	if err != nil && c.writer.Err() != nil {
		return c.fail("write", err)
	}
	return err
}

// SendMessage appends an encoded message to the data that Flush sends.
func (c *Conn) SendMessage(message Encoder) error {
	if err := c.writer.Message(message); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// Server returns the ID of the server.
func (c *Conn) Server() fleet.ServerID {
	return c.config.Server
}

// Truncated reports whether CopyTo failed after it had written part of the current
// message. The receiver can't interpret any data after that.
func (c *Conn) Truncated() bool {
	return c.broken && !c.bodyRead && c.frame.Size > maxBufferedBodySize
}

// TxStatus returns the transaction state that the server last reported.
func (c *Conn) TxStatus() byte {
	return c.txStatus
}

// Unsynced reports whether messages were sent whose Sync has not been answered.
func (c *Conn) Unsynced() bool {
	return c.unsynced
}

// authenticate handles the current authentication message.
func (c *Conn) authenticate() error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	if len(body) < 4 {
		return c.fail("authenticate", errors.New("short authentication message"))
	}
	switch code := binary.BigEndian.Uint32(body); code {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeCleartextPassword:
		return c.sendAndFlush(&pgproto3.PasswordMessage{Password: c.config.Password})
	case pgproto3.AuthTypeSASL:
		return c.authenticateSCRAM()
	default:
		return &Error{Op: "authenticate", Kind: KindAuthentication, Err: fmt.Errorf("authentication type %d is not supported", code)}
	}
}

func (c *Conn) authenticateSCRAM() error {
	client, err := scram.SHA256.NewClient(c.config.User, c.config.Password, "")
	if err != nil {
		return &Error{Op: "authenticate", Kind: KindAuthentication, Err: errors.New("the proxy's password can't be prepared")}
	}
	conversation := client.WithNonceGenerator(nonce).NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return &Error{Op: "authenticate", Kind: KindAuthentication, Err: err}
	}
	if err := c.sendAndFlush(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)}); err != nil {
		return err
	}
	challenge, err := c.readSASLMessage(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := conversation.Step(challenge)
	if err != nil {
		return &Error{Op: "authenticate", Kind: KindAuthentication, Err: err}
	}
	if err := c.sendAndFlush(&pgproto3.SASLResponse{Data: []byte(final)}); err != nil {
		return err
	}
	verifier, err := c.readSASLMessage(pgproto3.AuthTypeSASLFinal)
	if err != nil {
		return err
	}
	if _, err := conversation.Step(verifier); err != nil || !conversation.Valid() {
		return &Error{Op: "authenticate", Kind: KindAuthentication, Err: errors.New("the server didn't prove that it knows the password")}
	}
	return nil
}

// fail marks the connection as broken and returns err as an *Error.
func (c *Conn) fail(op string, err error) error {
	c.broken = true
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	return &Error{Op: op, Kind: KindConnection, Err: err}
}

// preparePeek allocates the objects that Alive uses, so that Alive itself doesn't
// allocate.
func (c *Conn) preparePeek() {
	raw, isSocket := c.net.(syscall.Conn)
	if !isSocket {
		return
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return
	}
	c.rawConn = rawConn
	buffer := make([]byte, 1)
	c.peekFunc = func(fd uintptr) bool {
		_, _, c.peekErr = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
}

// readSASLMessage reads a SASL message of the expected type and returns its data.
func (c *Conn) readSASLMessage(want uint32) (string, error) {
	frame, err := c.Next()
	if err != nil {
		return "", err
	}
	if frame.Type == 'E' {
		return "", c.serverError("authenticate")
	}
	body, err := c.Body()
	if err != nil {
		return "", err
	}
	if frame.Type != 'R' || len(body) < 4 || binary.BigEndian.Uint32(body) != want {
		return "", c.fail("authenticate", fmt.Errorf("unexpected message %q", frame.Type))
	}
	return string(body[4:]), nil
}

func (c *Conn) sendAndFlush(message Encoder) error {
	if err := c.SendMessage(message); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// serverError returns the current ErrorResponse message as an *Error of KindServer.
func (c *Conn) serverError(op string) error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	var response pgproto3.ErrorResponse
	if err := response.Decode(body); err != nil {
		return c.fail(op, err)
	}
	return &Error{Op: op, Kind: KindServer, Code: response.Code, Err: fmt.Errorf("%s (SQLSTATE %s)", response.Message, response.Code)}
}

// startUp sends the startup message, authenticates, and reads until the first
// ReadyForQuery.
func (c *Conn) startUp() error {
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"application_name": ApplicationName,
		"database":         c.config.Database,
		"user":             c.config.User,
	}}
	if err := c.sendAndFlush(start); err != nil {
		return err
	}
	c.pendingReady = 1
	for {
		frame, err := c.Next()
		if err != nil {
			return err
		}
		switch frame.Type {
		case 'E':
			return c.serverError("connect")
		case 'K':
			err = c.readCancelKey()
		case 'R':
			err = c.authenticate()
		case 'Z':
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readCancelKey reads the current BackendKeyData message.
func (c *Conn) readCancelKey() error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	if len(body) < 8 {
		return c.fail("read", errors.New("short key data"))
	}
	c.pid = binary.BigEndian.Uint32(body)
	c.cancelKey = append([]byte(nil), body[4:]...)
	return nil
}

// trackParameter records the position if the current ParameterStatus message
// reports it.
func (c *Conn) trackParameter() error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	if c.frame.Size < len(positionParameter)+2 || string(body[:len(positionParameter)]) != positionParameter || body[len(positionParameter)] != 0 {
		return nil
	}
	position, err := fleet.ParsePosition(string(body[len(positionParameter)+1 : len(body)-1]))
	if err != nil {
		return c.fail("read", &Error{Op: "read", Kind: KindProtocol, Err: err})
	}
	c.position, c.positionReported = position, true
	return nil
}

// trackReady records the transaction state of the current ReadyForQuery message.
func (c *Conn) trackReady() error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	c.pendingReady--
	if len(body) != 1 || c.pendingReady < 0 {
		return c.fail("read", &Error{Op: "read", Kind: KindProtocol, Err: errors.New("unexpected ReadyForQuery")})
	}
	c.txStatus = body[0]
	c.unsynced = false
	return nil
}

func (config ConnConfig) withDefaults() ConnConfig {
	if config.AnswerTimeout == 0 {
		config.AnswerTimeout = defaultAnswerTimeout
	}
	if config.ConnectTimeout == 0 {
		config.ConnectTimeout = defaultConnectTimeout
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	return config
}

// nonce returns a random nonce in base64.
func nonce() string {
	var raw [18]byte
	_, _ = rand.Read(raw[:])
	return base64.StdEncoding.EncodeToString(raw[:])
}
