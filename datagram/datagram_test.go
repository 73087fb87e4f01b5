package datagram_test

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/datagram"
)

// bound is far longer than a question takes over loopback.
const bound = 30 * time.Second

func newEndpoint(t *testing.T) *datagram.Endpoint {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return datagram.New(conn)
}

func serve(t *testing.T, e *datagram.Endpoint, answer func([]byte) []byte) {
	t.Helper()
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		_ = e.Serve(ctx, answer)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func silent([]byte) []byte { return nil }

// TestAsk guards against answers that reach another question.
func TestAsk(t *testing.T) {
	asker, answerer := newEndpoint(t), newEndpoint(t)
	serve(t, asker, silent)
	serve(t, answerer, func(question []byte) []byte { return append([]byte("to "), question...) })
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	failed := make(chan error, 20)
	for i := range cap(failed) {
		go func() {
			got, err := asker.Ask(ctx, answerer.Address(), answerer.Secret(), []byte(strconv.Itoa(i)))
			if err == nil {
				if diff := cmp.Diff("to "+strconv.Itoa(i), string(got)); diff != "" {
					err = errors.New(diff)
				}
			}
			failed <- err
		}()
	}
	for range cap(failed) {
		if err := <-failed; err != nil {
			t.Error(err)
		}
	}
}

// TestRepeatedRequest guards against a question that takes effect twice
// because its first answer was late.
func TestRepeatedRequest(t *testing.T) {
	asker, answerer := newEndpoint(t), newEndpoint(t)
	serve(t, asker, silent)
	var answers atomic.Int32
	release := make(chan struct{})
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	serve(t, answerer, func([]byte) []byte {
		answers.Add(1)
		<-release
		return []byte("once")
	})
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	if _, err := asker.Ask(ctx, answerer.Address(), answerer.Secret(), []byte("q")); err != nil {
		t.Fatal(err)
	}
	// The repeats were queued before this question.
	if _, err := asker.Ask(ctx, answerer.Address(), answerer.Secret(), []byte("last")); err != nil {
		t.Fatal(err)
	}
	if got := answers.Load(); got != 2 {
		t.Errorf("the two questions were answered %d times, want each once", got)
	}
}

// TestWrongSecret guards against an answer to a question from somebody who
// does not know the secret, and against one from a process that took over the
// address.
func TestWrongSecret(t *testing.T) {
	asker, answerer := newEndpoint(t), newEndpoint(t)
	serve(t, asker, silent)
	var answers atomic.Int32
	serve(t, answerer, func([]byte) []byte {
		answers.Add(1)
		return []byte("given")
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := asker.Ask(ctx, answerer.Address(), asker.Secret(), []byte("q"))
	var failure *datagram.Error
	if !errors.As(err, &failure) || failure.Kind != datagram.KindUnreachable {
		t.Errorf("error %v, want that nobody answered", err)
	}
	if answers.Load() != 0 {
		t.Error("the question was answered")
	}
}

// TestInvalidRequest guards against questions that can't arrive and that are
// waited for.
func TestInvalidRequest(t *testing.T) {
	e := newEndpoint(t)
	for _, test := range []struct {
		name    string
		address string
		content []byte
	}{
		{name: "address", address: "nowhere"},
		{name: "length", address: e.Address(), content: make([]byte, 2000)},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := e.Ask(t.Context(), test.address, e.Secret(), test.content)
			var failure *datagram.Error
			if !errors.As(err, &failure) || failure.Kind != datagram.KindInvalid {
				t.Errorf("error %v, want an invalid question", err)
			}
		})
	}
}

// FuzzReceive guards against messages that stop an endpoint.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("q"))
	f.Add([]byte("a12345678abcdefghijklmnop"))
	f.Add([]byte("q12345678abcdefghijklmnopcontent"))
	f.Fuzz(func(t *testing.T, message []byte) {
		asker, answerer := newEndpoint(t), newEndpoint(t)
		serve(t, asker, silent)
		serve(t, answerer, func([]byte) []byte { return []byte("alive") })
		conn, err := net.Dial("udp4", answerer.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = conn.Write(message)
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		defer cancel()
		if _, err := asker.Ask(ctx, answerer.Address(), answerer.Secret(), []byte("q")); err != nil {
			t.Fatal(err)
		}
	})
}
