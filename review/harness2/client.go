package harness2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// recordedText is how much of a query is recorded.
const recordedText = 24

// Client is a session of a client.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	record *Record
}

// Reply is the answer to a query.
type Reply struct {
	code, text, signature, state, position string
	rows                                   []string
	Err                                    error
}

// Connect opens a session.
func Connect(rec *Record, address, database, key string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10), record: rec}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := readLine(c.reader)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// Query sends a query, reads the answer and records both.
func (c *Client) Query(timeout time.Duration, id, text string) Reply {
	c.record.Add("sent", "id", id, "bytes", strconv.Itoa(len(text)), "text", strconv.Quote(text[:min(recordedText, len(text))]))
	r := c.ask(timeout, id, text)
	c.record.Add("answer", "id", id, "outcome", r.Outcome(), "text", strconv.Quote(r.text))
	return r
}

// ask sends a query and reads the answer.
func (c *Client) ask(timeout time.Duration, id, text string) Reply {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.Copy(c.conn, io.MultiReader(strings.NewReader("QUERY "+id+" "), strings.NewReader(text), strings.NewReader("\r\n"))); err != nil {
		return Reply{Err: err}
	}
	var r Reply
	for {
		line, err := readLine(c.reader)
		if err != nil {
			r.Err = err
			return r
		}
		kind, rest, _ := strings.Cut(line, " ")
		switch kind {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, r.position, _ = strings.Cut(rest, " ")
			return r
		}
	}
}

// Outcome is the answer in one word.
func (r Reply) Outcome() string {
	switch {
	case r.Err != nil:
		return "broken"
	case r.code != "":
		return r.code
	}
	return "ok"
}

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }
