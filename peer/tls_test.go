package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/peer"
)

// testCA is a certificate authority for tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	t           *testing.T
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	ca := &testCA{t: t}
	template := &x509.Certificate{
		BasicConstraintsValid: true, IsCA: true, KeyUsage: x509.KeyUsageCertSign, SerialNumber: big.NewInt(1),
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), Subject: pkix.Name{CommonName: "test CA"},
	}
	var der []byte
	ca.key, der = ca.sign(template, nil)
	ca.certificate, _ = x509.ParseCertificate(der)
	return ca
}

// sign creates a key and a certificate that is signed by the parent, or
// self-signed without a parent.
func (ca *testCA) sign(template *x509.Certificate, parent *testCA) (*ecdsa.PrivateKey, []byte) {
	ca.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		ca.t.Fatal(err)
	}
	issuer, issuerKey := template, key
	if parent != nil {
		issuer, issuerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer, &key.PublicKey, issuerKey)
	if err != nil {
		ca.t.Fatal(err)
	}
	return key, der
}

// write issues a certificate for an instance and writes its TLS files into a
// directory.
func (ca *testCA) write(dir string, serial int64) peer.TLSFiles {
	ca.t.Helper()
	key, der := ca.sign(&x509.Certificate{
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, SerialNumber: big.NewInt(serial),
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}, ca)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	files := peer.TLSFiles{CA: filepath.Join(dir, "ca"), Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	for path, block := range map[string]*pem.Block{
		files.CA:          {Type: "CERTIFICATE", Bytes: ca.certificate.Raw},
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			ca.t.Fatal(err)
		}
	}
	return files
}

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// dial connects a client to a server over the loopback interface and returns both
// ends of the connection.
func dial(t *testing.T, server, client *peer.TLS) (*tls.Conn, *tls.Conn, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan *tls.Conn, 1)
	handshakeErr := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			handshakeErr <- err
			return
		}
		secured := tls.Server(conn, server.Server())
		handshakeErr <- secured.Handshake()
		accepted <- secured
	}()
	config := client.Client()
	config.ServerName = "127.0.0.1"
	conn, err := tls.Dial("tcp", listener.Addr().String(), config)
	if serverErr := <-handshakeErr; serverErr != nil {
		err = serverErr
	}
	return conn, <-accepted, err
}

// TestTLSReload guards against changed files that are not reloaded, a reload that
// breaks open connections, and peers of another certificate authority that can
// connect.
func TestTLSReload(t *testing.T) {
	clock := &manualClock{now: time.Now()}
	first, second := newTestCA(t), newTestCA(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server, err := peer.LoadTLS(first.write(serverDir, 2), clock)
	if err != nil {
		t.Fatal(err)
	}
	client, err := peer.LoadTLS(first.write(clientDir, 3), clock)
	if err != nil {
		t.Fatal(err)
	}
	conn, accepted, err := dial(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	second.write(serverDir, 4)
	clock.now = clock.now.Add(6 * time.Second)
	if _, _, err := dial(t, server, client); err == nil {
		t.Error("peers with certificates of different authorities connected")
	}
	second.write(clientDir, 5)
	clock.now = clock.now.Add(6 * time.Second)
	renewed, _, err := dial(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	if serial := renewed.ConnectionState().PeerCertificates[0].SerialNumber.Int64(); serial != 4 {
		t.Errorf("server certificate %d, want the reloaded one, 4", serial)
	}
	if _, err := accepted.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Errorf("the connection opened before the reload is broken: %v", err)
	}
}
