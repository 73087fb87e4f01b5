package instance

import (
	"crypto/tls"
	"time"

	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/settings"
)

// tlsConfigs holds the TLS configurations of an instance. A nil field means no TLS.
type tlsConfigs struct {
	callers    func() *tls.Config
	peerClient *tls.Config
	peerServer *tls.Config
}

// loadTLS loads the certificate files that the settings name. The configurations
// load them again when they change.
func loadTLS(configured settings.TLS) (tlsConfigs, error) {
	var result tlsConfigs
	if configured.Callers.CertFile != "" {
		files, err := peer.LoadTLS(peer.TLSFiles{
			Certificate: configured.Callers.CertFile,
			Key:         configured.Callers.KeyFile,
		}, clock(time.Now))
		if err != nil {
			return tlsConfigs{}, &Error{Op: "load TLS files for callers", Kind: KindSettings, Err: err}
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
			return tlsConfigs{}, &Error{Op: "load TLS files for peers", Kind: KindSettings, Err: err}
		}
		result.peerClient = files.Client()
		result.peerServer = files.Server()
	}
	return result, nil
}
