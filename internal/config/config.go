// Package config reads the configuration of a gateway: its deployment, for the simulator's adapter and for the gateway on
// sockets, and what the latter needs besides.
package config

import (
	"fmt"
	"os"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// Config is the configuration of one gateway process on sockets.
type Config struct {
	Name             string
	Listen           string           // address for clients
	DiscoveryAddress string           // address of the engine list
	Seed             int64            // of the admission controller's random decisions
	MemoryMB         int              // that the process may use; 0: not told
	MaxDescriptors   int              // that the process may hold; 0: not told
	KnownEndpoints   *jsonvalue.Value // the engine list's events so far
	Deployment       *admission.Deployment
	Network          *Network
}

// clientDescriptorShare is the part of the descriptors, one in so many, that clients may hold by the protocol.
const clientDescriptorShare = 3

// ReadFile reads a gateway's configuration from a JSON file. Errors name the field at fault.
func ReadFile(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	file, err := jsonvalue.Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	config := &Config{
		Name:             file.RequireText("name"),
		Listen:           file.RequireText("listen"),
		DiscoveryAddress: file.RequireText("coordinator"),
		MemoryMB:         int(file.Float("limits", "memory_mb")),
		MaxDescriptors:   int(file.Float("limits", "sockets")),
		KnownEndpoints:   file.Object("known"),
	}
	seed, err := strconv.ParseUint(file.RequireText("seed"), 16, 64)
	if err != nil {
		file.Fail("up to 16 hex digits", "seed")
	}
	config.Seed = int64(seed)
	settings := file.Object("settings")
	if file.Err() != nil {
		return nil, file.Err()
	}
	config.Deployment, err = ReadDeployment(settings)
	if err != nil {
		return nil, err
	}
	config.Network, err = ReadNetwork(settings)
	if err != nil {
		return nil, err
	}
	config.limitRequests()
	return config, nil
}

// limitRequests limits the requests in flight to the sessions that the descriptors allow, as each carries one request.
func (c *Config) limitRequests() {
	sessions := c.MaxDescriptors / clientDescriptorShare
	if sessions > 0 && (c.Deployment.MaxRequests == 0 || sessions < c.Deployment.MaxRequests) {
		c.Deployment.MaxRequests = sessions
	}
}
