// Magpiebank is a gateway that accepts client requests on a socket, limits how much runs on each analytic engine and forwards the
// requests to the engines.
package main

import (
	"os"

	"magpiebank/internal/cli"
)

func main() { os.Exit(cli.Program{}.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
