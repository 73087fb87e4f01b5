package demo

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/metastore"
)

// ExternalInstance is an instance that runs in a separate process and uses the
// platform and the database groups of the demo.
type ExternalInstance struct {
	// AdminURL is the URL of the administration API.
	AdminURL string
	// SettingsPath is the path of the settings file for "nutmegpier serve".
	SettingsPath string
	// URLs holds one connection URL for each workspace.
	URLs []string
}

// AddExternalInstance adds an instance that runs in a separate process to the
// platform's list of instances and writes its settings file. The ports in the file are
// free when it is written, but are not reserved. A second file lists the URL of the
// administration API and the connection URLs. The number is part of the instance id and
// of the file names. The process is not started.
func (d *Demo) AddExternalInstance(directory string, number int) (ExternalInstance, error) {
	id := fleet.InstanceID(fmt.Sprintf("serve-%d", number))
	listeners, err := listenOnFreePorts()
	if err != nil {
		return ExternalInstance{}, err
	}
	dataCentres := d.dataCentres()
	dataCentre := dataCentres[number%len(dataCentres)]
	file := d.settingsFile(id, dataCentre, listeners)
	closeListeners(listeners)
	encoded, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return ExternalInstance{}, &Error{Op: "encode settings", Kind: KindStart, Err: err}
	}
	name := filepath.Join(directory, string(id)+".hujson")
	if err := os.WriteFile(name, encoded, 0o600); err != nil {
		return ExternalInstance{}, &Error{Op: "write settings", Kind: KindStart, Err: err}
	}
	d.platform.AddInstance(metastore.Instance{
		DataCentre:  dataCentre,
		ID:          id,
		PeerAddress: file.Listen.Peers,
		State:       metastore.InstanceLive,
	})
	external := ExternalInstance{AdminURL: "http://" + file.Listen.Admin, SettingsPath: name}
	for _, key := range d.keys {
		external.URLs = append(external.URLs, connectionURL(file.Listen.Callers, key, key.Databases[0]))
	}
	urls := strings.Join(append([]string{external.AdminURL}, external.URLs...), "\n") + "\n"
	if err := os.WriteFile(filepath.Join(directory, string(id)+".urls"), []byte(urls), 0o600); err != nil {
		return ExternalInstance{}, &Error{Op: "write URLs", Kind: KindStart, Err: err}
	}
	return external, nil
}

// listenOnFreePorts opens the three listeners of an instance on any free ports.
func listenOnFreePorts() (instance.Listeners, error) {
	var listeners []net.Listener
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return instance.Listeners{}, &Error{Op: "find a free port", Kind: KindStart, Err: err}
		}
		listeners = append(listeners, listener)
	}
	return instance.Listeners{Admin: listeners[0], Callers: listeners[1], Peers: listeners[2]}, nil
}

func closeListeners(listeners instance.Listeners) {
	_ = listeners.Admin.Close()
	_ = listeners.Callers.Close()
	_ = listeners.Peers.Close()
}
