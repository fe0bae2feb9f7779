// Magpiebank-sim runs gateways' admission controllers for a simulator, on standard input and output.
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
