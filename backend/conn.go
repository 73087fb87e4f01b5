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

// ApplicationName is the application name of each session connection. It is
// fixed, so that nothing of a caller shows on a backend server.
const ApplicationName = "nutmegpier"

// Defaults of a connection.
const (
	defaultAnswerTimeout  = time.Minute
	defaultConnectTimeout = 3 * time.Second
	defaultMaxMessage     = 1 << 30
	readBufferSize        = 16 << 10
	writeBufferSize       = 16 << 10
	// wholeBodySize is the size up to which a body is read before it is passed on.
	wholeBodySize = 8 << 10
)

// positionParameter is the parameter in which a server reports its position.
const positionParameter = "group_position"

// Transaction states as ReadyForQuery reports them.
const (
	TxFailed byte = 'E'
	TxIdle   byte = 'I'
	TxOpen   byte = 'T'
)

// ConnConfig says how to connect to a backend server.
type ConnConfig struct {
	// Address is the host and port of the server.
	Address string
	// AnswerTimeout bounds each wait for bytes of an answer. Zero means one minute.
	AnswerTimeout time.Duration
	// ConnectTimeout bounds connecting and authentication. Zero means 3 s.
	ConnectTimeout time.Duration
	// Database is the database to connect to.
	Database string
	// Dial opens the network connection. Nil means TCP.
	Dial Dial
	// Password is the proxy's own password. It may be empty.
	Password string
	// Server is the id of the server.
	Server fleet.ServerID
	// User is the proxy's own user name.
	User string
}

// Conn is one session connection to a backend server. It isn't safe for
// concurrent use, except for Cancel and Close.
type Conn struct {
	body     []byte
	bodyRead bool
	broken   bool
	config   ConnConfig
	frame    Frame
	inFlight int
	moved    bool
	net      net.Conn
	pid      uint32
	position fleet.Position
	peek     syscall.RawConn
	peekErr  error
	peekFunc func(fd uintptr) bool
	prepared map[string]struct{}
	profile  string
	reader   *FrameReader
	ready    bool
	secret   []byte
	touched  bool
	owner    uint64
	txStatus byte
	unnamed  string
	unsynced bool
	writer   *FrameWriter
}

// Connect opens a connection and authenticates with the proxy's credentials.
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
		reader:   NewFrameReader(netConn, readBufferSize, defaultMaxMessage),
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
	c.ready = true
	c.preparePeek()
	return c, nil
}

// Alive reports whether an idle connection is still open, as far as this side
// knows. It doesn't block. A server that closed the connection while it was
// idle would otherwise make the outcome of the next write unknown.
func (c *Conn) Alive() bool {
	if c.peek == nil {
		return true
	}
	if err := c.peek.Read(c.peekFunc); err != nil {
		return false
	}
	return errors.Is(c.peekErr, syscall.EAGAIN)
}

// Begin says that a request that ends in one ReadyForQuery is about to be sent.
func (c *Conn) BeginRequest() {
	c.inFlight++
	c.moved = false
}

// BeginUnsyncedRequest says that messages are about to be sent that end in a Flush.
// The connection can't be reused before their Sync was answered.
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

// Buffered reports whether bytes of the server wait in the buffer.
func (c *Conn) Buffered() bool {
	return c.reader.Buffered() > 0
}

// Cancel asks the server to cancel what runs on the connection, over a second
// network connection. It returns when the server has closed that one, so the
// signal was sent. A statement that ended meanwhile isn't affected, but the
// next one may be: the connection must not be reused by another session.
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
	request, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return &Error{Op: "cancel", Kind: KindProtocol, Err: err}
	}
	if _, err := netConn.Write(request); err != nil {
		return &Error{Op: "cancel", Kind: KindConnection, Err: err}
	}
	_, _ = io.Copy(io.Discard, netConn)
	return nil
}

// Close closes the connection without a farewell.
func (c *Conn) Close() error {
	return c.net.Close()
}

// CopyTo writes the current message to w. After an error, w.Failed tells
// whether the destination or the connection failed, and Truncated whether a
// part of the message was written.
func (c *Conn) CopyTo(w *FrameWriter) error {
	if !c.bodyRead && c.frame.Size <= wholeBodySize {
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

// Exec runs one simple query and discards its rows. An answer with an error is
// an *Error of KindServer with the SQLSTATE; the connection stays usable.
func (c *Conn) Exec(sql string) error {
	c.BeginRequest()
	c.unnamed = ""
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

// Flush sends what was written with Send.
func (c *Conn) Flush() error {
	_ = c.net.SetWriteDeadline(time.Now().Add(c.config.AnswerTimeout))
	if err := c.writer.Flush(); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// FlushAsync sends what was written since Hold while the caller reads the
// answers. The result is sent on the channel; until then nothing else may be
// written.
func (c *Conn) FlushAsync() <-chan error {
	sent := make(chan error, 1)
	data := c.writer.take(writeBufferSize)
	_ = c.net.SetWriteDeadline(time.Now().Add(c.config.AnswerTimeout))
	go func() {
		_, err := c.net.Write(data)
		sent <- err
	}()
	return sent
}

// Hold keeps what is written in memory until FlushAsync. Without it, a server
// that waits for its answers to be read would block the sender of a long
// pipeline for ever.
func (c *Conn) HoldWrites() {
	c.writer.grows = true
}

// Moved reports whether the server reported a position since Begin, and which.
func (c *Conn) ReportedPosition() (fleet.Position, bool) {
	return c.position, c.moved
}

// Next reads the header of the next message. It keeps track of positions and
// of the transaction state. Errors make the connection broken.
func (c *Conn) Next() (Frame, error) {
	c.body, c.bodyRead = nil, false
	if c.ready && c.reader.Buffered() == 0 {
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

// Reusable reports whether the connection is in a known state outside a
// transaction, so that another request may use it.
func (c *Conn) Reusable() bool {
	return !c.broken && !c.unsynced && c.inFlight == 0 && c.txStatus == TxIdle && c.reader.Buffered() == 0
}

// Send appends raw bytes to what Flush sends.
func (c *Conn) Send(p []byte) error {
	if err := c.writer.Raw(p); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// SendFrom appends the current message of a reader. Errors of the connection
// are of type *Error, those of the reader are passed on unchanged.
func (c *Conn) SendFrom(reader *FrameReader) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(c.config.AnswerTimeout))
	err := reader.CopyTo(c.writer)
	if err != nil && c.writer.Err() != nil {
		return c.fail("write", err)
	}
	return err
}

// SendMessage appends an encoded message to what Flush sends.
func (c *Conn) SendMessage(message Encoder) error {
	if err := c.writer.Message(message); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// Server returns the id of the server.
func (c *Conn) Server() fleet.ServerID {
	return c.config.Server
}

// Truncated reports whether CopyTo failed after it wrote a part of the current
// message. What follows it can't be understood any more.
func (c *Conn) Truncated() bool {
	return c.broken && !c.bodyRead && c.frame.Size > wholeBodySize
}

// TxStatus returns the transaction state that the server last reported.
func (c *Conn) TxStatus() byte {
	return c.txStatus
}

// Unsynced reports whether messages were sent whose Sync is missing.
func (c *Conn) Unsynced() bool {
	return c.unsynced
}

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
		return c.sendNow(&pgproto3.PasswordMessage{Password: c.config.Password})
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
	if err := c.sendNow(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)}); err != nil {
		return err
	}
	challenge, err := c.saslAnswer(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := conversation.Step(challenge)
	if err != nil {
		return &Error{Op: "authenticate", Kind: KindAuthentication, Err: err}
	}
	if err := c.sendNow(&pgproto3.SASLResponse{Data: []byte(final)}); err != nil {
		return err
	}
	verifier, err := c.saslAnswer(pgproto3.AuthTypeSASLFinal)
	if err != nil {
		return err
	}
	if _, err := conversation.Step(verifier); err != nil || !conversation.Valid() {
		return &Error{Op: "authenticate", Kind: KindAuthentication, Err: errors.New("the server didn't prove that it knows the password")}
	}
	return nil
}

func (c *Conn) fail(op string, err error) error {
	c.broken = true
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	return &Error{Op: op, Kind: KindConnection, Err: err}
}

// preparePeek sets up what Alive needs, so that it doesn't allocate.
func (c *Conn) preparePeek() {
	raw, isSocket := c.net.(syscall.Conn)
	if !isSocket {
		return
	}
	peek, err := raw.SyscallConn()
	if err != nil {
		return
	}
	c.peek = peek
	buffer := make([]byte, 1)
	c.peekFunc = func(fd uintptr) bool {
		_, _, c.peekErr = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
}

func (c *Conn) saslAnswer(want uint32) (string, error) {
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

func (c *Conn) sendNow(message Encoder) error {
	if err := c.SendMessage(message); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return c.fail("write", err)
	}
	return nil
}

func (c *Conn) serverError(op string) error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	var answer pgproto3.ErrorResponse
	if err := answer.Decode(body); err != nil {
		return c.fail(op, err)
	}
	return &Error{Op: op, Kind: KindServer, Code: answer.Code, Err: fmt.Errorf("%s (SQLSTATE %s)", answer.Message, answer.Code)}
}

func (c *Conn) startUp() error {
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"application_name": ApplicationName,
		"database":         c.config.Database,
		"user":             c.config.User,
	}}
	if err := c.sendNow(start); err != nil {
		return err
	}
	c.inFlight = 1
	for {
		frame, err := c.Next()
		if err != nil {
			return err
		}
		switch frame.Type {
		case 'E':
			return c.serverError("connect")
		case 'K':
			err = c.trackKey()
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

func (c *Conn) trackKey() error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	if len(body) < 8 {
		return c.fail("read", errors.New("short key data"))
	}
	c.pid = binary.BigEndian.Uint32(body)
	c.secret = append([]byte(nil), body[4:]...)
	return nil
}

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
	c.position, c.moved = position, true
	return nil
}

func (c *Conn) trackReady() error {
	body, err := c.Body()
	if err != nil {
		return err
	}
	c.inFlight--
	if len(body) != 1 || c.inFlight < 0 {
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

// nonce returns a random nonce in printable form.
func nonce() string {
	var raw [18]byte
	_, _ = rand.Read(raw[:])
	return base64.StdEncoding.EncodeToString(raw[:])
}
