package store_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/store"
)

// storeModel is the state of a model-based test: a store, its folder and the values that the store may have.
type storeModel struct {
	folder   *faultfs.Folder
	store    *store.Store
	expected *expectation
	writes   int // number of values written, which makes each value unique
}

// open checks the folder against the expectation and opens the store.
func (m *storeModel) open(t *rapid.T) {
	t.Helper()
	if err := m.expected.check(m.folder); err != nil {
		t.Fatal(err)
	}
	opened, _, err := store.Open(m.folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	m.store = opened
}

// write writes a value, or deletes the key if the value is empty. If wait is true, it waits until the write is durable.
func (m *storeModel) write(t *rapid.T, id store.Key, value string, wait bool) {
	t.Helper()
	m.expected.recordWritten(id, value)
	var durable chan error
	var done func(error)
	if wait {
		durable = make(chan error, 1)
		done = func(err error) { durable <- err }
	}
	if value == "" {
		m.store.Delete(id, done)
	} else {
		m.store.Put(id, []byte(value), done)
	}
	if !wait {
		return
	}
	if err := <-durable; err != nil {
		t.Fatal(err)
	}
	m.expected.recordDurable(id)
}

func drawKey(t *rapid.T) store.Key { return key(rapid.IntRange(0, 20).Draw(t, "id")) }

func (m *storeModel) put(t *rapid.T) {
	m.writes++
	id := drawKey(t)
	value := fmt.Sprintf("%d %0*d", m.writes, rapid.IntRange(1, 200).Draw(t, "size"), 0)
	m.write(t, id, value, rapid.Bool().Draw(t, "wait"))
}

func (m *storeModel) remove(t *rapid.T) {
	id := drawKey(t)
	m.write(t, id, "", rapid.Bool().Draw(t, "wait"))
}

func (m *storeModel) restart(t *rapid.T) {
	if err := m.store.Close(); err != nil {
		t.Fatal(err)
	}
	for id := range m.expected.allowed {
		m.expected.recordDurable(id)
	}
	m.open(t)
}

func (m *storeModel) losePower(t *rapid.T) {
	bits := rapid.Uint64().Draw(t, "kept")
	crashState := m.folder.AfterPowerLoss(func(part int) bool { return bits>>(part%64)&1 == 1 }, rapid.IntRange(-1, 500).Draw(t, "tear"))
	old := m.store
	m.folder = crashState
	m.open(t)
	closeAfterFault(old)
	for id := range m.expected.allowed { // the values that survived are durable
		value, _, err := m.store.Get(id)
		if err != nil {
			t.Fatal(err)
		}
		m.expected.allowed[id] = []string{string(value)}
	}
}

// After any sequence of writes, deletions, power losses and restarts, the store has only values that the expectation allows.
func TestStoreAgainstModel(t *testing.T) {
	if err := flag.Set("rapid.seed", "11"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{folder: &faultfs.Folder{}, expected: &expectation{allowed: map[store.Key][]string{}}}
		m.open(t)
		t.Repeat(map[string]func(*rapid.T){
			"put":        m.put,
			"delete":     m.remove,
			"close":      m.restart,
			"lose power": m.losePower,
		})
		if err := m.store.Close(); err != nil {
			t.Fatal(err)
		}
	})
}
