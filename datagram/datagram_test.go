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

// testTimeout is far longer than a request takes over loopback.
const testTimeout = 30 * time.Second

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

// noAnswer answers no request.
func noAnswer([]byte) []byte { return nil }

// TestCall guards against an answer that is returned for another request.
func TestCall(t *testing.T) {
	client, server := newEndpoint(t), newEndpoint(t)
	serve(t, client, noAnswer)
	serve(t, server, func(request []byte) []byte { return append([]byte("to "), request...) })
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	results := make(chan error, 20)
	for i := range cap(results) {
		go func() {
			got, err := client.Call(ctx, server.Address(), server.Secret(), []byte(strconv.Itoa(i)))
			if err == nil {
				if diff := cmp.Diff("to "+strconv.Itoa(i), string(got)); diff != "" {
					err = errors.New(diff)
				}
			}
			results <- err
		}()
	}
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestRepeatedRequest guards against a request that takes effect twice because
// it was sent again before its first answer arrived.
func TestRepeatedRequest(t *testing.T) {
	client, server := newEndpoint(t), newEndpoint(t)
	serve(t, client, noAnswer)
	var answers atomic.Int32
	release := make(chan struct{})
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	serve(t, server, func([]byte) []byte {
		answers.Add(1)
		<-release
		return []byte("once")
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := client.Call(ctx, server.Address(), server.Secret(), []byte("q")); err != nil {
		t.Fatal(err)
	}
	// Copies of the first request were queued before this one.
	if _, err := client.Call(ctx, server.Address(), server.Secret(), []byte("last")); err != nil {
		t.Fatal(err)
	}
	if got := answers.Load(); got != 2 {
		t.Errorf("answer was called %d times for two requests, want one call for each", got)
	}
}

// TestWrongSecret guards against answering a request that carries the secret of
// another endpoint: its sender doesn't know the secret of this one, or means an
// earlier process at the same address.
func TestWrongSecret(t *testing.T) {
	client, server := newEndpoint(t), newEndpoint(t)
	serve(t, client, noAnswer)
	var answers atomic.Int32
	serve(t, server, func([]byte) []byte {
		answers.Add(1)
		return []byte("given")
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, server.Address(), client.Secret(), []byte("q"))
	var failure *datagram.Error
	if !errors.As(err, &failure) || failure.Kind != datagram.KindUnreachable {
		t.Errorf("error %v, want kind Unreachable", err)
	}
	if answers.Load() != 0 {
		t.Error("the request with a wrong secret was answered")
	}
}

// TestInvalidRequest guards against waiting for the answer to a request that
// can't be sent.
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
			_, err := e.Call(t.Context(), test.address, e.Secret(), test.content)
			var failure *datagram.Error
			if !errors.As(err, &failure) || failure.Kind != datagram.KindInvalid {
				t.Errorf("error %v, want kind Invalid", err)
			}
		})
	}
}

// FuzzReceive guards against messages that make an endpoint stop serving.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("q"))
	f.Add([]byte("a12345678abcdefghijklmnop"))
	f.Add([]byte("q12345678abcdefghijklmnopcontent"))
	f.Fuzz(func(t *testing.T, message []byte) {
		client, server := newEndpoint(t), newEndpoint(t)
		serve(t, client, noAnswer)
		serve(t, server, func([]byte) []byte { return []byte("alive") })
		conn, err := net.Dial("udp4", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = conn.Write(message)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if _, err := client.Call(ctx, server.Address(), server.Secret(), []byte("q")); err != nil {
			t.Fatal(err)
		}
	})
}
