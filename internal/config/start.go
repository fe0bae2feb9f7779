package config

import (
	"fmt"
	"os"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// Start is what one router is told when its process begins.
type Start struct {
	Name, Listen string
	EngineList   string // address of the engine list
	Seed         int64
	MemoryMB     int
	Sockets      int              // descriptors that the process may hold; 0: not told
	Known        *jsonvalue.Sheet // the engine list's events so far
	Site         *admission.Deployment
	Network      *Network
}

// ReadStart reads a router's configuration from a file.
func ReadStart(path string) (*Start, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := jsonvalue.Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	s := &Start{Name: c.Needed("name"), Listen: c.Needed("listen"), EngineList: c.Needed("coordinator"),
		MemoryMB: int(c.Num("limits", "memory_mb")),
		Sockets:  int(c.Num("limits", "sockets")), Known: c.Under("known")}
	seed, err := strconv.ParseUint(c.Needed("seed"), 16, 64)
	if err != nil {
		c.Fail("up to 16 hex digits", "seed")
	}
	s.Seed = int64(seed)
	settings := c.Under("settings")
	if c.Err() != nil {
		return nil, c.Err()
	}
	if s.Site, err = Read(settings); err != nil {
		return nil, err
	}
	if s.Network, err = ReadNetwork(settings); err != nil {
		return nil, err
	}
	// Clients hold at most a third of the descriptors, and a session carries one task.
	if seats := s.Sockets / 3; seats > 0 && (s.Site.Seats == 0 || seats < s.Site.Seats) {
		s.Site.Seats = seats
	}
	return s, nil
}
