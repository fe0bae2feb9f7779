package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const configuration = `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","coordinator":"127.0.0.1:1",
 "known":{"index":0,"updates":[]},"settings":{"fleetSize":3,
 "classes":[{"name":"look","sloUs":1000000,"worth":1,"effect":"read_like"}],
 "limits":{"connectTimeoutUs":250000,"keepaliveUs":30000000}}}`

func Example_check() {
	dir, _ := os.MkdirTemp("", "magpiebank")
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "configuration.json")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		fmt.Println(err)
	}
	env := func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }
	for _, args := range []string{"check", "check --listen 127.0.0.1:5050", "check --config " + dir + "/none", "version",
		"serve --log-level loud", "serve --quick", "ride", "version"} {
		var out, errs strings.Builder
		status := Program{}.Run(strings.Fields(args), env, &out, &errs)
		first, _, _ := strings.Cut(errs.String(), "\n")
		fmt.Printf("%d %s%s\n", status, strings.TrimSpace(out.String()), strings.ReplaceAll(first, dir, "DIR"))
	}
	// Output:
	// 0 n0 listens on 127.0.0.1:0, one of 3; lanes ["look"]; engine list at 127.0.0.1:1
	// reports by probe false, in answers false; notes every 0s
	// 0 n0 listens on 127.0.0.1:5050, one of 3; lanes ["look"]; engine list at 127.0.0.1:1
	// reports by probe false, in answers false; notes every 0s
	// 2 magpiebank: configuration: open DIR/none: no such file or directory
	// 0 magpiebank 0.1.0
	// 2 magpiebank: flag log-level: slog: level string "loud": unknown name
	// 2 magpiebank: unknown flag: --quick
	// 2 magpiebank: no command "ride"
	// 0 magpiebank 0.1.0
}

// SIGHUP makes the gateway read the configuration again, and SIGTERM ends the command with status 0.
func TestServeReloadsOnSIGHUPAndStopsOnSIGTERM(t *testing.T) {
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	status := make(chan int)
	go func() { status <- Program{}.Run([]string{"serve", "--config", path}, os.Getenv, io.Discard, w) }()
	var log strings.Builder
	b := make([]byte, 4096)
	for _, step := range []struct{ old, new, want string }{
		{"", "", "serving"},
		{"127.0.0.1:1", "127.0.0.1:2", "code=renewed engine_list=127.0.0.1:2"},
		{"127.0.0.1:1", "127.0.0.1:3", "code=renewed engine_list=127.0.0.1:3"},
		{`"fleetSize":3`, `"fleetSize":4`, "code=needs_restart field=settings"},
		{`"seed":"8`, `"seed":"x`, "code=kept error=\"field configuration[seed]: expected up to 16 hex digits"},
	} {
		if step.old != "" {
			if err := os.WriteFile(path, []byte(strings.Replace(configuration, step.old, step.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		for !strings.Contains(log.String(), step.want) {
			n, _ := r.Read(b)
			log.Write(b[:n])
		}
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-status; got != 0 {
		t.Errorf("status %d", got)
	}
}
