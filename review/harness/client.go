package harness

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// clientTimeout bounds the wait for one answer.
const clientTimeout = 10 * time.Second

var (
	lastSession atomic.Uint64
	lastRequest atomic.Uint64
)

// Answer is the answer to one request. Code is that of the error, or closed.
type Answer struct {
	Code      string
	ID        string
	Position  string
	Received  time.Time
	Rows      []string
	Sent      time.Time
	Signature string
	State     string
}

// closed is the code of an answer that did not come, because the connection ended.
const closed = "CLOSED"

// OK reports whether the request succeeded.
func (a Answer) OK() bool { return a.Code == "" }

// Client is one session of a client.
type Client struct {
	conn   net.Conn
	name   string
	reader *bufio.Reader
	record *Record
}

// Dial opens a session. If it is refused, the answer has the code and the client is nil.
func Dial(record *Record, address, database, key string) (*Client, Answer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, Answer{Code: closed}
	}
	c := &Client{conn: conn, name: fmt.Sprintf("client-%d", lastSession.Add(1)), reader: bufio.NewReader(conn), record: record}
	record.Add("%s sends STARTUP %s %s to %s", c.name, database, key, address)
	a := c.exchange("", fmt.Sprintf("STARTUP %s %s\r\n", database, key))
	if !a.OK() {
		c.Close()
		return nil, a
	}
	return c, a
}

// Close closes the connection.
func (c *Client) Close() {
	_ = c.conn.Close()
}

// Do sends one statement with a new id and waits for its answer.
func (c *Client) Do(text string) Answer {
	id := fmt.Sprintf("%016x", lastRequest.Add(1))
	c.record.Add("%s sends QUERY %s %s", c.name, id, text)
	return c.exchange(id, fmt.Sprintf("QUERY %s %s\r\n", id, text))
}

// exchange sends a message and reads messages up to READY.
func (c *Client) exchange(id, message string) Answer {
	a := Answer{ID: id, Sent: time.Now()}
	defer func() {
		c.record.Add("%s gets for %s: code %q, rows %v, signature %q, state %q, position %q", c.name, id, a.Code, a.Rows, a.Signature, a.State, a.Position)
	}()
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := c.conn.Write([]byte(message)); err != nil {
		a.Code, a.Received = closed, time.Now()
		return a
	}
	for {
		line, err := c.reader.ReadString('\n')
		a.Received = time.Now()
		if err != nil {
			if a.Code == "" {
				a.Code = closed
			}
			return a
		}
		kind, fields, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch kind {
		case "DATAROW":
			a.Rows = append(a.Rows, fields)
		case "COMPLETE":
			a.Signature = fields
		case "ERROR":
			a.Code, _, _ = strings.Cut(fields, " ")
		case "READY":
			a.State, a.Position, _ = strings.Cut(fields, " ")
			return a
		}
	}
}
