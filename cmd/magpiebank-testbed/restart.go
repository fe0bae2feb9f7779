package main

import (
	"os"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/crashtest"
	"magpiebank/internal/testbed/load/experiment"
)

// runRestarts kills and restarts a gateway a hundred times under load, and checks its answers against the engines' log. The gateway
// keeps a request journal unless noJournal is set; the checks fail without one.
func runRestarts(c *cobra.Command, o *output, seed int64, noJournal bool) error {
	if o.folder == "" {
		o.folder = experiment.DefaultFolder("restart")
	}
	if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return err
	}
	r, err := crashtest.Run(c.Context(), crashtest.Plan{Program: o.gateway, Folder: o.folder, Kills: 100, LoadClients: 24, LookupClients: 8, Seed: seed, NoJournal: noJournal})
	if err != nil {
		return err
	}
	if o.json {
		err = writeJSON(c.OutOrStdout(), r)
	} else {
		r.Text(c.OutOrStdout())
	}
	if err == nil && !r.Good() {
		err = errReported
	}
	return err
}
