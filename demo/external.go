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

// ExternalInstance is an instance that runs as a process of its own before the
// stand-ins of the demo.
type ExternalInstance struct {
	AdminURL string
	// Settings is the settings file for nutmegpier serve.
	SettingsPath string
	// URLs are connection URLs, one for each workspace.
	URLs []string
}

// AddExternalInstance writes a settings file for an instance that runs as a process
// of its own, and adds the instance to the platform's list. The ports are free
// when the file is written. A second file lists the URL of the administration
// API and the connection URLs.
func (d *Demo) AddExternalInstance(directory string, number int) (ExternalInstance, error) {
	id := fleet.InstanceID(fmt.Sprintf("serve-%d", number))
	listeners, err := freeListeners()
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

func freeListeners() (instance.Listeners, error) {
	var opened []net.Listener
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return instance.Listeners{}, &Error{Op: "find a free port", Kind: KindStart, Err: err}
		}
		opened = append(opened, listener)
	}
	return instance.Listeners{Admin: opened[0], Callers: opened[1], Peers: opened[2]}, nil
}

func closeListeners(listeners instance.Listeners) {
	_ = listeners.Admin.Close()
	_ = listeners.Callers.Close()
	_ = listeners.Peers.Close()
}
