package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the gatewayd command available to scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"gatewayd": main})
}

// TestScripts guards against mistakes in the command line or the settings file that
// are not reported.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
