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

// configVariable is the environment variable that holds the path of a configuration. If it is set, the test binary runs a
// gateway with that configuration instead of the tests.
const configVariable = "ROUTER_TEST_CONFIG"

func TestMain(m *testing.M) {
	if path := os.Getenv(configVariable); path != "" {
		os.Exit(serveAsProcess(path))
	}
	os.Exit(m.Run())
}

// serveAsProcess runs a gateway until SIGTERM, as the command line does, and returns the process's exit code.
func serveAsProcess(path string) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	start, err := config.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	if err := Serve(start, Options{}, slog.New(slog.NewTextHandler(os.Stderr, nil)), stop, nil); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// startProcess starts a gateway as a separate process with a limit on its file descriptors.
func startProcess(t *testing.T, configuration string, descriptors int) (process *exec.Cmd, log *lockedBuffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	process = exec.CommandContext(context.Background(), "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", descriptors, os.Args[0]))
	process.Env = append(os.Environ(), configVariable+"="+path)
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

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// logIn connects a client and logs it in. It returns nil if the client was rejected.
func logIn(address string) *testClient {
	c, err := dialTCP(address)
	if err != nil {
		return nil
	}
	c.SetDeadline(time.Now().Add(eventuallyTimeout))
	_, _ = c.Write(loginPacket())
	client := &testClient{socket: c, reader: bufio.NewReader(c)}
	if client.readPacket()[0] != 10 || client.readPacket()[0] != 0 {
		c.Close()
		return nil
	}
	return client
}

// While the engine list is down, idle clients take every file descriptor that they can get. Once the list is up, there must
// still be descriptors for connections to the list, for attempts and for health checks, and a client's query must be served.
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
	eventually(t, "the gateway accepts logins", func() bool { return logIn(address) != nil })
	var idleConns []net.Conn
	defer func() {
		for _, c := range idleConns {
			c.Close()
		}
	}()
	addIdleConns := func() {
		for range 3 * descriptors {
			c, err := dialTCP(address)
			if err != nil {
				t.Fatal(err)
			}
			idleConns = append(idleConns, c)
		}
	}
	addIdleConns()
	list, err := fake.StartDiscovery(listAddress, []fake.Endpoint{
		{ID: "e-1", Address: e.Address, Zone: "hall", Kind: "std", State: "Ready"}})
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	addIdleConns()
	served := false
	eventually(t, "a client's query is served despite the idle connections", func() bool {
		client := logIn(address)
		if client == nil {
			return false
		}
		defer client.socket.Close()
		_, _ = client.socket.Write(queryPacket(fmt.Sprintf("%02x", len(idleConns)%256)))
		served = client.readPacket()[0] == 3 // the first packet of a result, which holds its number of columns
		addIdleConns()
		return served
	})
	if text := log.String(); strings.Contains(text, "too many open files") {
		t.Errorf("descriptors ran out:\n%.2000s", text)
	}
}
