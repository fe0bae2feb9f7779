package config

import (
	"fmt"
	"os"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// Start is what one router is told when its process begins.
type Config struct {
	Name, Listen     string
	DiscoveryAddress string // address of the engine list
	Seed             int64
	MemoryMB         int
	MaxDescriptors   int              // descriptors that the process may hold; 0: not told
	KnownEndpoints   *jsonvalue.Value // the engine list's events so far
	Deployment       *admission.Deployment
	Network          *Network
}

// ReadStart reads a router's configuration from a file.
func ReadFile(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := jsonvalue.Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	s := &Config{Name: c.RequireText("name"), Listen: c.RequireText("listen"), DiscoveryAddress: c.RequireText("coordinator"),
		MemoryMB:       int(c.Float("limits", "memory_mb")),
		MaxDescriptors: int(c.Float("limits", "sockets")), KnownEndpoints: c.Object("known")}
	seed, err := strconv.ParseUint(c.RequireText("seed"), 16, 64)
	if err != nil {
		c.Fail("up to 16 hex digits", "seed")
	}
	s.Seed = int64(seed)
	settings := c.Object("settings")
	if c.Err() != nil {
		return nil, c.Err()
	}
	if s.Deployment, err = ReadDeployment(settings); err != nil {
		return nil, err
	}
	if s.Network, err = ReadNetwork(settings); err != nil {
		return nil, err
	}
	// Clients hold at most a third of the descriptors, and a session carries one task.
	if seats := s.MaxDescriptors / 3; seats > 0 && (s.Deployment.MaxRequests == 0 || seats < s.Deployment.MaxRequests) {
		s.Deployment.MaxRequests = seats
	}
	return s, nil
}
