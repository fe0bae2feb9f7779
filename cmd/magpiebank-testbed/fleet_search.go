package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/faulttest"
)

// shrinkTries is the most runs that are spent on making a failing scenario smaller.
const shrinkTries = 20

// scenarioSearch plays scenarios drawn from seeds, several at a time.
type scenarioSearch struct {
	place                place
	seeds, first, beside int
	gateways, engines    int
	shrink               bool

	mu       sync.Mutex // guards what follows
	out      io.Writer
	violated int
	err      error // of the last run that could not be made
}

func fleetSearch() *cobra.Command {
	var s scenarioSearch
	c := &cobra.Command{Use: "search", Short: "Play scenarios drawn from seeds, and print each that violates anything", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.place.find("search"); err != nil {
				return err
			}
			s.out = c.OutOrStdout()
			return s.run(c.Context())
		}}
	s.place.flags(c)
	c.Flags().IntVar(&s.seeds, "seeds", 20, "how many")
	c.Flags().IntVar(&s.first, "from", 1, "the first seed")
	c.Flags().IntVar(&s.gateways, "gateways", 8, "gateways in each")
	c.Flags().IntVar(&s.engines, "engines", 6, "engines in each")
	c.Flags().IntVar(&s.beside, "beside", 4, "how many are played at the same time")
	c.Flags().BoolVar(&s.shrink, "shrink", false, "look for the fewest steps that still violate something")
	return c
}

// run plays the scenarios and returns errMissed if one violated anything.
func (s *scenarioSearch) run(ctx context.Context) error {
	began := time.Now()
	seeds := make(chan int)
	var players sync.WaitGroup
	for player := range max(1, s.beside) {
		players.Add(1)
		go func() {
			defer players.Done()
			folder := filepath.Join(s.place.folder, fmt.Sprint(player))
			for seed := range seeds {
				s.play(ctx, seed, folder)
			}
		}()
	}
	played := 0
	for seed := s.first; seed < s.first+s.seeds && ctx.Err() == nil; seed++ {
		seeds <- seed
		played++
	}
	close(seeds)
	players.Wait()
	fmt.Fprintf(s.out, "%d scenarios of %d gateways drawn from seeds %d to %d, %d violated something; %.0f s\n", played, s.gateways, s.first, s.first+played-1, s.violated, time.Since(began).Seconds())
	if s.err != nil {
		return s.err
	}
	if s.violated > 0 {
		return errMissed
	}
	return ctx.Err()
}

// play plays the scenario of one seed, and prints it if it violates anything.
func (s *scenarioSearch) play(ctx context.Context, seed int, folder string) {
	scenario := faulttest.Draw(uint64(seed), s.gateways, s.engines)
	result, err := faulttest.Run(ctx, scenario, folder, s.place.gateway)
	if err == nil && result.Good() {
		return
	}
	if err == nil && s.shrink {
		scenario = faulttest.Shrink(scenario, shrinkTries, func(smaller *faulttest.Scenario) bool {
			again, err := faulttest.Run(ctx, smaller, folder, s.place.gateway)
			return err == nil && !again.Good()
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violated++
	if err != nil {
		s.err = err
		fmt.Fprintf(s.out, "seed %d: %v\n", seed, err)
		return
	}
	fmt.Fprintf(s.out, "seed %d:\n", seed)
	result.Text(s.out)
	fmt.Fprint(s.out, scenario.Text())
}
