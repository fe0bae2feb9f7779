package router

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"magpiebank/internal/config"
	"magpiebank/internal/testbed/fake"
)

// asRouter is the environment variable with the configuration by which this program runs a gateway in place of its tests.
const asRouter = "ROUTER_TEST_CONFIG"

func TestMain(m *testing.M) {
	if path := os.Getenv(asRouter); path != "" {
		os.Exit(serveAsProcess(path))
	}
	os.Exit(m.Run())
}

// serveAsProcess runs a gateway's process, as the command line does.
func serveAsProcess(path string) int {
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM)
	start, err := config.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan struct{})
	go func() {
		<-ends
		close(stop)
	}()
	if err := Serve(start, Options{}, slog.New(slog.NewTextHandler(os.Stderr, nil)), stop, nil); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// startProcess starts a gateway as a process with a limit on its descriptors.
func startProcess(t *testing.T, configuration string, descriptors int) (process *exec.Cmd, log *lockedBuffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	process = exec.CommandContext(context.Background(), "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", descriptors, os.Args[0]))
	process.Env = append(os.Environ(), asRouter+"="+path)
	log = &lockedBuffer{}
	process.Stderr = log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process, log
}

// freeAddress returns an address on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// logIn connects a client and logs it in. It returns nil if the client was rejected.
func logIn(address string) *testClient {
	c, err := dialTCP(address)
	if err != nil {
		return nil
	}
	c.SetDeadline(time.Now().Add(eventuallyTimeout))
	_, _ = c.Write(loginPacket())
	k := &testClient{socket: c, reader: bufio.NewReader(c)}
	if k.readPacket()[0] != 10 || k.readPacket()[0] != 0 {
		c.Close()
		return nil
	}
	return k
}

// Idle clients fill every descriptor that they can get while the engine list is down: once it is back, the list, the engine and its
// probes still get theirs, and a client that asks is served.
func TestDescriptorsForListAndEngines(t *testing.T) {
	const descriptors = 96
	e, err := fake.StartEngine("e-1", "127.0.0.1:0", fake.EngineBehavior{Threads: 4, Cores: 8,
		Works: []fake.Work{{Rows: 1}}}, fake.NewExecutionLog(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	address, listAddress := freeAddress(t), freeAddress(t)
	_, log := startProcess(t, fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"sockets":%d},"coordinator":%q,
	 "known":{"index":0,"updates":[]},"settings":%s}`, address, descriptors, listAddress, settings), descriptors)
	eventually(t, "the router serves", func() bool { return logIn(address) != nil })
	var crowd []net.Conn
	defer func() {
		for _, c := range crowd {
			c.Close()
		}
	}()
	fill := func() {
		for range 3 * descriptors {
			c, err := dialTCP(address)
			if err != nil {
				t.Fatal(err)
			}
			crowd = append(crowd, c)
		}
	}
	fill()
	list, err := fake.StartDiscovery(listAddress, []fake.Endpoint{
		{ID: "e-1", Address: e.Address, Zone: "hall", Kind: "std", State: "Ready"}})
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	fill()
	served := false
	eventually(t, "a client is served before the crowd", func() bool {
		k := logIn(address)
		if k == nil {
			return false
		}
		defer k.socket.Close()
		_, _ = k.socket.Write(queryPacket(fmt.Sprintf("%02x", len(crowd)%256)))
		served = k.readPacket()[0] == 3 // the columns of a result
		fill()
		return served
	})
	if text := log.String(); strings.Contains(text, "too many open files") {
		t.Errorf("descriptors ran out:\n%.2000s", text)
	}
}
