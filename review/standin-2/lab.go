//go:build review

// Package lab is the test bench of the cases 6 to 10. It starts the project's own programs as separate processes, with the commands of
// the deploy file, and holds small stand-ins of engines and clients that follow the protocol page. Everything is on loopback addresses.
package lab

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	CouldNot   = 2
)

// Lab is one run of a case.
type Lab struct {
	Trouble bool   // the disruption takes place; unset by TROUBLE=0
	Folder  string // temporary folder, removed at the end
	Context context.Context

	began   time.Time
	mu      sync.Mutex
	record  *os.File
	cleanup []func()
	broken  []string
}

// runLimit ends a run in time, as a case may take 120 seconds.
const runLimit = 110 * time.Second

// Main runs a case and exits with its code. A case reports a broken rule by Broken, and returns an error if it could not run. recordPath
// is the path of the record of what was sent, answered and run.
func Main(recordPath string, run func(*Lab) error) {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", Context: ctx, began: time.Now()}
	code := l.run(recordPath, run)
	stop()
	cancel()
	os.Exit(code)
}

func (l *Lab) run(recordPath string, run func(*Lab) error) (code int) {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer record.Close()
	l.record = record
	l.Folder, err = os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer os.RemoveAll(l.Folder)
	defer l.cleanUp()
	l.Note("run", "trouble=%v", l.Trouble)
	failed := make(chan error, 1)
	go func() { failed <- run(l) }()
	select {
	case err = <-failed:
	case <-l.Context.Done():
		err = errors.New("the run took too long or was ended by a signal")
	}
	l.mu.Lock()
	broken := l.broken
	l.mu.Unlock()
	switch {
	case len(broken) > 0: // a rule was broken, whatever happened to the rest of the run
		l.Note("verdict", "rule broken: %s", broken[0])
		return RuleBroken
	case err != nil:
		l.Note("verdict", "could not run: %v", err)
		return CouldNot
	}
	l.Note("verdict", "rule held")
	return RuleHeld
}

// Broken records that the rule was broken.
func (l *Lab) Broken(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	l.Note("broken", "%s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// Note writes one line to the record and to standard output: the time since the start in seconds, who, and what.
func (l *Lab) Note(who, format string, values ...any) {
	line := fmt.Sprintf("%8.3f  %-10s %s\n", time.Since(l.began).Seconds(), who, fmt.Sprintf(format, values...))
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// Since returns the time from the start of the run to t, as in the record.
func (l *Lab) Since(t time.Time) time.Duration { return t.Sub(l.began) }

// atEnd has f called at the end of the run. The functions are called in reverse order.
func (l *Lab) atEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cleanup = append(l.cleanup, f)
}

func (l *Lab) cleanUp() {
	l.mu.Lock()
	list := l.cleanup
	l.cleanup = nil
	l.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i]()
	}
}

// Sleep waits, but not beyond the end of the run.
func (l *Lab) Sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.Context.Done():
	}
}

// Await polls a condition until it holds, and reports whether it did within the given time.
func (l *Lab) Await(within time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(within); !holds(); l.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) || l.Context.Err() != nil {
			return false
		}
	}
	return true
}

// FreeAddress returns a loopback address whose port is free for TCP and UDP. The listeners that found it are closed again.
func FreeAddress() (string, error) {
	for range 50 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := tcp.Addr().String()
		udp, err := net.ListenPacket("udp", address)
		tcp.Close()
		if err != nil {
			continue
		}
		udp.Close()
		return address, nil
	}
	return "", errors.New("no port is free for both TCP and UDP")
}

// path returns the path of a file in the temporary folder.
func (l *Lab) path(name string) string { return filepath.Join(l.Folder, name) }
