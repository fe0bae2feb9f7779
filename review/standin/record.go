//go:build review

// Package standin holds what the review's cases share: a record of what was sent, answered and run, stand-ins for clients and
// engines, a proxy, and the start of the project's own programs as processes of their own.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	RuleHeld     = 0
	RuleBroken   = 1
	CouldNotRun  = 2
	longestCase  = 105 * time.Second
	recordPrefix = "%9.3f  "
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption takes place
	Folder  string // temporary files
	Root    string // the repository's root

	mu      sync.Mutex
	record  *os.File
	began   time.Time
	cleanup []func()
	ended   bool
	verdict int
}

// Begin starts a case that writes its record to the given file. The environment variable TROUBLE=0 leaves the disruption out.
func Begin(record string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if c.record, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNotRun)
	}
	if c.Root, err = os.Getwd(); err != nil {
		c.Fatal("%v", err)
	}
	if c.Folder, err = os.MkdirTemp("", "review-"); err != nil {
		c.Fatal("%v", err)
	}
	c.Log("the disruption takes place: %v", c.Trouble)
	time.AfterFunc(longestCase, func() { c.Fatal("the case took too long") })
	return c
}

// Log writes a line to the record, with the seconds since the start.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, recordPrefix+format+"\n", append([]any{time.Since(c.began).Seconds()}, args...)...)
}

// AtEnd has f run when the case ends, the last one first.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanup = append(c.cleanup, f)
}

// Broken notes that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.Log("RULE BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdict = RuleBroken
}

// Fatal ends the case, because it can't run.
func (c *Case) Fatal(format string, args ...any) {
	c.Log("the case could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	c.end(CouldNotRun)
}

// End ends the case and the process.
func (c *Case) End() {
	c.mu.Lock()
	verdict := c.verdict
	c.mu.Unlock()
	c.Log("%s", [...]string{RuleHeld: "the rule held", RuleBroken: "the rule was broken"}[verdict])
	c.end(verdict)
}

func (c *Case) end(code int) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		select {} // another goroutine ends the process
	}
	c.ended = true
	cleanup := c.cleanup
	c.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	_ = os.RemoveAll(c.Folder)
	os.Exit(code)
}
