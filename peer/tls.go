package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"
)

// tlsCheckPeriod is the time for which loaded files are used before they are read
// again.
const tlsCheckPeriod = 5 * time.Second

// TLSFiles holds the paths of the PEM files for TLS.
type TLSFiles struct {
	// CA is the file with the CA certificates that the peers' certificates are
	// verified against. It is empty if the other side presents no certificate.
	CA string
	// Certificate is the file with the certificate chain of this instance.
	Certificate string
	// Key is the file with the private key of the certificate.
	Key string
}

// TLS provides TLS configurations whose certificates are reloaded when the files
// change. New connections use the reloaded content; open connections are not
// affected. It is safe for concurrent use.
type TLS struct {
	clock Clock
	files TLSFiles

	mu          sync.Mutex
	lastChecked time.Time
	loaded      tlsContent
	keyPair     *tls.Certificate
	roots       *x509.CertPool
}

// tlsContent is the content of the files.
type tlsContent struct {
	ca          []byte
	certificate []byte
	key         []byte
}

// LoadTLS loads the files.
func LoadTLS(files TLSFiles, clock Clock) (*TLS, error) {
	t := &TLS{clock: clock, files: files}
	if err := t.load(); err != nil {
		return nil, err
	}
	t.lastChecked = clock.Now()
	return t, nil
}

// Client returns the configuration for calls to other instances. Instances are
// addressed by IP address, so the certificate must contain that address.
func (t *TLS) Client() *tls.Config {
	return &tls.Config{
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := t.current()
			return pair, nil
		},
		// The CA certificates may be reloaded, so VerifyConnection verifies the
		// chain against the current ones instead of a fixed pool.
		InsecureSkipVerify: true,
		MinVersion:         tls.VersionTLS13,
		VerifyConnection: func(state tls.ConnectionState) error {
			return t.verify(state, state.ServerName, x509.ExtKeyUsageServerAuth)
		},
	}
}

// ServerWithoutClientAuth returns the configuration of a listener whose clients
// present no certificate.
func (t *TLS) ServerWithoutClientAuth() *tls.Config {
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := t.current()
			return pair, nil
		},
		MinVersion: tls.VersionTLS12,
	}
}

// Server returns the configuration of the peer listener, which requires client
// certificates.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := t.current()
			return pair, nil
		},
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		VerifyConnection: func(state tls.ConnectionState) error {
			return t.verify(state, "", x509.ExtKeyUsageClientAuth)
		},
	}
}

// current returns the newest valid content. If the files are invalid, for example
// because they are only partly written, the last valid content stays in use.
func (t *TLS) current() (*tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Now(); now.Sub(t.lastChecked) >= tlsCheckPeriod && t.load() == nil {
		t.lastChecked = now
	}
	return t.keyPair, t.roots
}

// load reads the files and replaces the loaded content if it changed.
func (t *TLS) load() error {
	content, err := readTLS(t.files)
	if err != nil {
		return &Error{Err: err, Kind: KindConfig, Op: "load TLS files"}
	}
	if t.keyPair != nil && content.equals(t.loaded) {
		return nil
	}
	keyPair, err := tls.X509KeyPair(content.certificate, content.key)
	if err != nil {
		return &Error{Err: err, Kind: KindConfig, Op: "load TLS files"}
	}
	roots := x509.NewCertPool()
	if t.files.CA != "" && !roots.AppendCertsFromPEM(content.ca) {
		return &Error{Err: errors.New("the CA file contains no PEM certificate"), Kind: KindConfig, Op: "load TLS files"}
	}
	t.loaded, t.keyPair, t.roots = content, &keyPair, roots
	return nil
}

// verify verifies the certificate chain of the other side against the current CA
// certificates. The name is not checked if it is empty.
func (t *TLS) verify(state tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Err: errors.New("the peer presented no TLS certificate"), Kind: KindUnavailable, Op: "verify"}
	}
	_, roots := t.current()
	options := x509.VerifyOptions{
		CurrentTime:   t.clock.Now(),
		DNSName:       name,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
		Roots:         roots,
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return &Error{Err: err, Kind: KindUnavailable, Op: "verify"}
	}
	return nil
}

func (c tlsContent) equals(other tlsContent) bool {
	return bytes.Equal(c.ca, other.ca) && bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key)
}

func readTLS(files TLSFiles) (content tlsContent, err error) {
	if files.CA != "" {
		if content.ca, err = os.ReadFile(files.CA); err != nil {
			return content, err
		}
	}
	if content.certificate, err = os.ReadFile(files.Certificate); err != nil {
		return content, err
	}
	content.key, err = os.ReadFile(files.Key)
	return content, err
}
