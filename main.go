// Command nutmegpier is a PostgreSQL proxy with session consistency.
package main

import (
	"os"

	"github.com/nutmegpier/nutmegpier/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
