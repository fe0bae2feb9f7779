// Magpiebank is one router before analytic engines, on sockets.
package main

import (
	"os"

	"magpiebank/internal/command"
)

func main() { os.Exit(command.Program{}.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
