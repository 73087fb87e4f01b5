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
	// keepAlive finds broken connections to backend servers.
	keepAlive = 5 * time.Second
	// peerIdleConns is the number of kept connections to each peer.
	peerIdleConns = 4
)

// Options are what a process gives to an instance besides its settings.
type Options struct {
	Listeners Listeners
	// LogFormat overrides the format of the settings when not empty.
	LogFormat string
	LogOutput io.Writer
	Settings  settings.Settings
}

// Open builds an instance that uses the clock, the random source and the
// network of the process.
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
	security, err := openTLS(configured.TLS)
	if err != nil {
		return nil, err
	}
	logger := event.NewLogger(options.LogOutput, format, event.Level(configured.Log.Level))
	dialer := &net.Dialer{KeepAlive: keepAlive}
	return New(Config{
		BackendPassword: password,
		CallerTLS:       security.callers,
		Dial:            dialer.DialContext,
		Epoch:           epoch,
		Events:          event.New(configured.Instance, epoch, time.Now, logger, configured.Timeline.Capacity),
		Listeners:       options.Listeners,
		Now:             time.Now,
		PeerHTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: peerIdleConns,
			TLSClientConfig:     security.peerClient,
		}},
		PeerTLS:  security.peerServer,
		Platform: metastore.NewClient(&http.Client{}, configured.Platform.URL),
		Random:   random,
		Settings: configured,
	})
}

// Listen opens the listeners of the settings.
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

func readPassword(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{Op: "read password", Kind: KindSettings, Err: err}
	}
	return strings.TrimSpace(string(content)), nil
}

// newEpoch returns an epoch that no other run has, and a random source.
func newEpoch() (fleet.Epoch, *rand.Rand) {
	var seed [24]byte
	_, _ = crand.Read(seed[:])
	random := rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:16])))
	return fleet.Epoch(binary.BigEndian.Uint64(seed[16:])), random
}

func versionText(version fleet.SheetVersion) string {
	return "version " + strconv.FormatUint(uint64(version), 10)
}
