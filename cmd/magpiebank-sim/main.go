// Magpiebank-sim runs the admission controllers of gateways for a simulator. It reads the simulator's events from standard
// input and writes the controllers' actions to standard output.
package main

import (
	"fmt"
	"os"

	"magpiebank/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "magpiebank-sim:", err)
		os.Exit(1)
	}
}
