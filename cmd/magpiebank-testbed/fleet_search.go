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

// shrinkTries limits the runs that search for a smaller version of a failing scenario.
const shrinkTries = 20

// scenarioSearch runs scenarios drawn from seeds, several at a time.
type scenarioSearch struct {
	location                       runLocation
	seedCount, firstSeed, parallel int
	gateways, engines              int
	shrink                         bool

	mu         sync.Mutex // guards the fields below
	out        io.Writer
	violations int
	err        error // of the last run that returned an error
}

func fleetSearch() *cobra.Command {
	var s scenarioSearch
	c := &cobra.Command{Use: "search", Short: "Run scenarios drawn from seeds, and print those that violate an expectation", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.location.setDefaults("search"); err != nil {
				return err
			}
			s.out = c.OutOrStdout()
			return s.run(c.Context())
		}}
	s.location.flags(c)
	c.Flags().IntVar(&s.seedCount, "seeds", 20, "number of seeds")
	c.Flags().IntVar(&s.firstSeed, "from", 1, "the first seed")
	c.Flags().IntVar(&s.gateways, "gateways", 8, "gateways in each")
	c.Flags().IntVar(&s.engines, "engines", 6, "engines in each")
	c.Flags().IntVar(&s.parallel, "beside", 4, "number of scenarios that run at the same time")
	c.Flags().BoolVar(&s.shrink, "shrink", false, "search for the fewest steps that still violate an expectation")
	return c
}

// run runs the scenarios of all seeds. It returns errReported if one violated an expectation.
func (s *scenarioSearch) run(ctx context.Context) error {
	began := time.Now()
	seeds := make(chan int)
	var workers sync.WaitGroup
	for worker := range max(1, s.parallel) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			folder := filepath.Join(s.location.folder, fmt.Sprint(worker))
			for seed := range seeds {
				s.runSeed(ctx, seed, folder)
			}
		}()
	}
	started := 0
	for seed := s.firstSeed; seed < s.firstSeed+s.seedCount && ctx.Err() == nil; seed++ {
		seeds <- seed
		started++
	}
	close(seeds)
	workers.Wait()
	fmt.Fprintf(s.out, "%d scenarios of %d gateways drawn from seeds %d to %d, %d violated an expectation; %.0f s\n", started, s.gateways, s.firstSeed, s.firstSeed+started-1, s.violations, time.Since(began).Seconds())
	if s.err != nil {
		return s.err
	}
	if s.violations > 0 {
		return errReported
	}
	return ctx.Err()
}

// runSeed runs the scenario of a seed, and prints it if it violates an expectation or returns an error. With shrink it prints a smaller
// version of the scenario that still violates one.
func (s *scenarioSearch) runSeed(ctx context.Context, seed int, folder string) {
	scenario := faulttest.Draw(uint64(seed), s.gateways, s.engines)
	result, err := faulttest.Run(ctx, scenario, folder, s.location.gateway)
	if err == nil && result.Good() {
		return
	}
	if err == nil && s.shrink {
		scenario = faulttest.Shrink(scenario, shrinkTries, func(smaller *faulttest.Scenario) bool {
			again, err := faulttest.Run(ctx, smaller, folder, s.location.gateway)
			return err == nil && !again.Good()
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations++
	if err != nil {
		s.err = err
		fmt.Fprintf(s.out, "seed %d: %v\n", seed, err)
		return
	}
	fmt.Fprintf(s.out, "seed %d:\n", seed)
	result.Text(s.out)
	fmt.Fprint(s.out, scenario.Text())
}
