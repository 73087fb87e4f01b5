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

// tlsCheckPeriod is the time for which loaded files are used without a look
// at their content.
const tlsCheckPeriod = 5 * time.Second

// TLSFiles names the PEM files of mutual TLS between instances.
type TLSFiles struct {
	// CA holds the certificates that sign the peers. It is empty where the
	// other side shows no certificate.
	CA string
	// Certificate holds the own certificate chain.
	Certificate string
	// Key holds the private key of the certificate.
	Key string
}

// TLS gives out TLS configurations for the peer protocol. New connections use
// the newest content of the files; open connections go on. It is safe for
// concurrent use.
type TLS struct {
	clock Clock
	files TLSFiles

	mu      sync.Mutex
	checked time.Time
	loaded  tlsContent
	pair    *tls.Certificate
	roots   *x509.CertPool
}

type tlsContent struct {
	ca          []byte
	certificate []byte
	key         []byte
}

// LoadTLS reads the files for the first time.
func LoadTLS(files TLSFiles, clock Clock) (*TLS, error) {
	t := &TLS{clock: clock, files: files}
	if err := t.load(); err != nil {
		return nil, err
	}
	t.checked = clock.Now()
	return t, nil
}

// Client returns the configuration for calls to other instances. Instances are
// called by IP number, so the certificate must carry it.
func (t *TLS) Client() *tls.Config {
	return &tls.Config{
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := t.current()
			return pair, nil
		},
		// The roots may change, so the check happens in VerifyConnection with
		// the newest ones instead of a fixed pool.
		InsecureSkipVerify: true,
		MinVersion:         tls.VersionTLS13,
		VerifyConnection: func(state tls.ConnectionState) error {
			return t.verify(state, state.ServerName, x509.ExtKeyUsageServerAuth)
		},
	}
}

// ServerWithoutClientAuth returns the configuration of a listener whose clients show no
// certificate.
func (t *TLS) ServerWithoutClientAuth() *tls.Config {
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := t.current()
			return pair, nil
		},
		MinVersion: tls.VersionTLS12,
	}
}

// Server returns the configuration of the peer listener.
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

// current returns the newest content. Files that cannot be used, for example
// half-written ones, leave the last good content in force.
func (t *TLS) current() (*tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Now(); now.Sub(t.checked) >= tlsCheckPeriod && t.load() == nil {
		t.checked = now
	}
	return t.pair, t.roots
}

func (t *TLS) load() error {
	content, err := readTLS(t.files)
	if err != nil {
		return &Error{Err: err, Kind: KindConfig, Op: "load TLS files"}
	}
	if t.pair != nil && content.equal(t.loaded) {
		return nil
	}
	pair, err := tls.X509KeyPair(content.certificate, content.key)
	if err != nil {
		return &Error{Err: err, Kind: KindConfig, Op: "load TLS files"}
	}
	roots := x509.NewCertPool()
	if t.files.CA != "" && !roots.AppendCertsFromPEM(content.ca) {
		return &Error{Err: errors.New("the CA file holds no certificate"), Kind: KindConfig, Op: "load TLS files"}
	}
	t.loaded, t.pair, t.roots = content, &pair, roots
	return nil
}

// verify checks the chain of the other side against the newest roots.
func (t *TLS) verify(state tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Err: errors.New("the peer sent no certificate"), Kind: KindUnavailable, Op: "verify"}
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

func (c tlsContent) equal(other tlsContent) bool {
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
