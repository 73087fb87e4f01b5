package instance

import (
	"crypto/tls"
	"time"

	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/settings"
)

// security holds the TLS configurations of an instance. Nil parts mean no TLS.
type security struct {
	callers    func() *tls.Config
	peerClient *tls.Config
	peerServer *tls.Config
}

// openTLS reads the files of the settings. They are read again when they change.
func openTLS(configured settings.TLS) (security, error) {
	var result security
	if configured.Callers.CertFile != "" {
		files, err := peer.LoadTLS(peer.TLSFiles{
			Certificate: configured.Callers.CertFile,
			Key:         configured.Callers.KeyFile,
		}, clock(time.Now))
		if err != nil {
			return security{}, &Error{Op: "TLS for callers", Kind: KindSettings, Err: err}
		}
		result.callers = files.ServerWithoutClientAuth
	}
	if configured.Peers.CertFile != "" {
		files, err := peer.LoadTLS(peer.TLSFiles{
			CA:          configured.Peers.CAFile,
			Certificate: configured.Peers.CertFile,
			Key:         configured.Peers.KeyFile,
		}, clock(time.Now))
		if err != nil {
			return security{}, &Error{Op: "TLS between instances", Kind: KindSettings, Err: err}
		}
		result.peerClient = files.Client()
		result.peerServer = files.Server()
	}
	return result, nil
}
