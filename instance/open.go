package instance

import (
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/settings"
)

const (
	// tcpKeepAlive is the keep-alive period that detects broken connections to
	// backend servers.
	tcpKeepAlive = 5 * time.Second
	// maxIdleConnsPerPeer is the number of idle connections kept open to each peer.
	maxIdleConnsPerPeer = 4
)

// Options holds the settings of an instance and what the process provides to it.
type Options struct {
	// Descriptors is the descriptor limit of the process, which limits the connections
	// of callers and to the administration listener. Zero means that they aren't limited.
	Descriptors int
	Listeners   Listeners
	// LogFormat overrides the log format of the settings if it is not empty.
	LogFormat string
	LogOutput io.Writer
	Settings  settings.Settings
}

// Open builds an instance that uses the system clock, a securely seeded random
// source and the network.
func Open(options Options) (*Instance, error) {
	configured := options.Settings
	password, err := readPassword(configured.Backend.PasswordFile)
	if err != nil {
		return nil, err
	}
	epoch, random := newEpoch()
	format := configured.Log.Format
	if options.LogFormat != "" {
		format = options.LogFormat
	}
	tlsConfig, err := loadTLS(configured.TLS)
	if err != nil {
		return nil, err
	}
	logger := event.NewLogger(options.LogOutput, format, event.Level(configured.Log.Level))
	dialer := &net.Dialer{KeepAlive: tcpKeepAlive}
	return New(Config{
		BackendPassword: password,
		CallerTLS:       tlsConfig.callers,
		Descriptors:     options.Descriptors,
		Dial:            dialer.DialContext,
		Epoch:           epoch,
		Events:          event.New(configured.Instance, epoch, time.Now, logger, configured.Timeline.Capacity),
		Listeners:       options.Listeners,
		Now:             time.Now,
		PeerHTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			TLSClientConfig:     tlsConfig.peerClient,
		}},
		PeerTLS:  tlsConfig.peerServer,
		Platform: metastore.NewClient(&http.Client{}, configured.Platform.URL),
		Random:   random,
		Settings: configured,
	})
}

// Listen opens the listeners that the settings name.
func Listen(configured settings.Listen) (Listeners, error) {
	var listeners Listeners
	for _, entry := range []struct {
		address  string
		listener *net.Listener
	}{
		{configured.Admin, &listeners.Admin},
		{configured.Callers, &listeners.Callers},
		{configured.Peers, &listeners.Peers},
	} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			return Listeners{}, &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		*entry.listener = listener
	}
	return listeners, nil
}

// readPassword reads the password for backend servers. Without a file the password
// is empty.
func readPassword(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{Op: "read backend password", Kind: KindSettings, Err: err}
	}
	return strings.TrimSpace(string(content)), nil
}

// newEpoch returns a random epoch, which identifies this run, and a securely seeded
// random source.
func newEpoch() (fleet.Epoch, *rand.Rand) {
	var seed [24]byte
	_, _ = crand.Read(seed[:])
	random := rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:16])))
	return fleet.Epoch(binary.BigEndian.Uint64(seed[16:])), random
}

// versionText returns a sheet version as the text of an event.
func versionText(version fleet.SheetVersion) string {
	return "version " + strconv.FormatUint(uint64(version), 10)
}
