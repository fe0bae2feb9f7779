// Package config reads a gateway's configuration file and parses engines' load reports. A gateway process uses the whole
// configuration; the simulator's adapter uses only the deployment.
package config

import (
	"fmt"
	"os"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// Config is the configuration of one gateway process.
type Config struct {
	Name             string
	Listen           string           // address on which the gateway accepts clients
	DiscoveryAddress string           // address of the discovery service, which serves the engine list
	Seed             int64            // seed of the admission controller's random decisions
	MemoryMB         int              // memory that the process may use; 0: not configured
	MaxDescriptors   int              // file descriptors that the process may have open; 0: not configured
	KnownEndpoints   *jsonvalue.Value // a discovery response with the engine list as last known
	Deployment       *admission.Deployment
	Network          *Network
}

// clientDescriptorDivisor limits client sessions to a third of the process's file descriptors, which is the share that the
// protocol allows them.
const clientDescriptorDivisor = 3

// ReadFile reads a gateway's configuration from a JSON file. An error about a field names the field.
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

// limitRequests limits the outstanding requests to the number of client sessions that the file descriptors allow, because
// a session carries one request at a time.
func (c *Config) limitRequests() {
	sessions := c.MaxDescriptors / clientDescriptorDivisor
	if sessions > 0 && (c.Deployment.MaxRequests == 0 || sessions < c.Deployment.MaxRequests) {
		c.Deployment.MaxRequests = sessions
	}
}
