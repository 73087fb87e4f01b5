package main

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

// client is a session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	record *record
}

// reply is the answer to a query.
type reply struct {
	code, text, signature, state, position string
	rows                                   []string
	err                                    error
}

// connect opens a session.
func connect(rec *record, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10), record: rec}
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

// query sends a query, reads the answer and records both.
func (c *client) query(timeout time.Duration, id, text string) reply {
	c.record.add("sent", "id", id, "bytes", strconv.Itoa(len(text)), "text", strconv.Quote(text[:min(recordedText, len(text))]))
	r := c.ask(timeout, id, text)
	c.record.add("answer", "id", id, "outcome", r.outcome(), "text", strconv.Quote(r.text))
	return r
}

// ask sends a query and reads the answer.
func (c *client) ask(timeout time.Duration, id, text string) reply {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.Copy(c.conn, io.MultiReader(strings.NewReader("QUERY "+id+" "), strings.NewReader(text), strings.NewReader("\r\n"))); err != nil {
		return reply{err: err}
	}
	var r reply
	for {
		line, err := readLine(c.reader)
		if err != nil {
			r.err = err
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

// outcome is the answer in one word.
func (r reply) outcome() string {
	switch {
	case r.err != nil:
		return "broken"
	case r.code != "":
		return r.code
	}
	return "ok"
}
