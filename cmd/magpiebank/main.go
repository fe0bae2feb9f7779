// Magpiebank is a gateway before analytic engines, on sockets.
package main

import (
	"os"

	"magpiebank/internal/cli"
)

func main() { os.Exit(cli.Program{}.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
