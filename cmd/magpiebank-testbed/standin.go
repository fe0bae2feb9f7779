package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/experiment"
)

// standinCommand returns the command that starts the servers of an experiment and keeps them running without a load, for other load
// generators or for manual inspection.
func standinCommand() *cobra.Command {
	var folder string
	c := &cobra.Command{Use: "standin NAME", Short: "Run an experiment's engines, discovery service and gateways until a signal", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Find(args[0])
			if err != nil {
				return inputError{err}
			}
			if folder == "" {
				folder = experiment.DefaultFolder(e.Name)
			}
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return err
			}
			switch {
			case e.FakeFrontend:
				f, err := fake.StartFrontend("127.0.0.1:0", e.Works, nil)
				if err != nil {
					return err
				}
				defer f.Close()
				fmt.Fprintf(c.OutOrStdout(), "front %s\n", f.Address)
			case e.Installation != nil:
				s, err := installation.Start(*e.Installation, folder)
				if err != nil {
					return err
				}
				defer s.Stop()
				for _, g := range s.Gateways {
					fmt.Fprintf(c.OutOrStdout(), "gateway %s %s, configuration %s\n", g.Name, g.Address, filepath.Join(folder, g.Name+".json"))
				}
				fmt.Fprintf(c.OutOrStdout(), "engine list %s\n", s.Discovery.Address)
			default:
				return inputError{fmt.Errorf("the experiment has no installation and no fake frontend to start")}
			}
			<-c.Context().Done()
			return nil
		}}
	c.Flags().StringVar(&folder, "folder", "", "folder for configurations and logs")
	return c
}
