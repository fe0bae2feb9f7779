package faultfs

import (
	"maps"
	"math/rand"
	"slices"
)

// sectorSize is the unit, in bytes, in which unsynced data reaches the disk. Sectors of real disks have this size or a larger one.
const sectorSize = 512

// noTear is the argument tear of AfterPowerLoss that leaves all surviving sectors whole.
const noTear = -1

// countParts returns the number of parts of a change that may reach the disk independently of each other: 1 for a truncation, the
// number of sectors for a write.
func (c *dataChange) countParts() int {
	if c.data == nil {
		return 1
	}
	return int((c.offset+int64(len(c.data))-1)/sectorSize-c.offset/sectorSize) + 1
}

// CountUnsyncedParts returns the number of unsynced parts, each of which may or may not have reached the disk. A part is a change of a
// name, a truncation or one sector of a write.
func (f *Folder) CountUnsyncedParts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	parts := len(f.unsyncedNames)
	for _, i := range f.reachable() {
		for _, change := range i.unsynced {
			parts += change.countParts()
		}
	}
	return parts
}

// reachable returns the files that the process sees or that survive a power loss, sorted by name. If a name was removed or replaced and
// the change is not synced, the name may refer to two files. A file that has two such names is returned twice.
func (f *Folder) reachable() (files []*inode) {
	// durableSuffix sorts a durable file after the current file of the same name.
	const durableSuffix = "\x00disk"
	byName := maps.Clone(f.current)
	for name, i := range f.durable {
		if f.current[name] != i {
			byName[name+durableSuffix] = i
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		files = append(files, byName[name])
	}
	return files
}

// AfterPowerLoss returns a copy of the folder as it may be found after a power loss. survives reports whether an unsynced part reached
// the disk. The parts are numbered from 0: first the changes of names, then the changes of each file, each in the order in which they
// were made. If tear is not negative, only the first tear bytes of each surviving sector reached the disk.
func (f *Folder) AfterPowerLoss(survives func(part int) bool, tear int) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	part := 0
	survivesNext := func() bool {
		part++
		return survives(part - 1)
	}
	names := map[string]*inode{}
	maps.Copy(names, f.durable)
	for _, change := range f.unsyncedNames {
		if survivesNext() {
			change.apply(names)
		}
	}
	contents := map[*inode][]byte{}
	for _, i := range f.reachable() {
		if contents[i] == nil {
			contents[i] = i.afterPowerLoss(survivesNext, tear)
		}
	}
	crashState := &Folder{}
	crashState.init()
	for name, i := range names {
		content := contents[i]
		if content == nil {
			content = slices.Clone(i.durable)
		}
		crashState.SetFile(name, content)
	}
	return crashState
}

// afterPowerLoss returns the file's content after a power loss. The result is never nil, because AfterPowerLoss uses nil for files that
// it has not processed.
func (i *inode) afterPowerLoss(survivesNext func() bool, tear int) []byte {
	content := append(make([]byte, 0, len(i.current)+1), i.durable...)
	for _, change := range i.unsynced {
		if change.data == nil {
			if survivesNext() && change.offset < int64(len(content)) {
				content = content[:change.offset]
			}
			continue
		}
		end := change.offset + int64(len(change.data))
		for from := change.offset; from < end; {
			to := min((from/sectorSize+1)*sectorSize, end)
			if survivesNext() {
				content = overwrite(content, from, tearSector(change.data[from-change.offset:to-change.offset], tear))
			}
			from = to
		}
	}
	return content
}

// tearSector returns the first tear bytes of data, or all of data if tear is negative or data is not longer.
func tearSector(data []byte, tear int) []byte {
	if tear >= 0 && tear < len(data) {
		return data[:tear]
	}
	return data
}

// overwrite copies data to an offset of content, which is extended with zeros if it is too short.
func overwrite(content []byte, offset int64, data []byte) []byte {
	for int64(len(content)) < offset+int64(len(data)) {
		content = append(content, 0)
	}
	copy(content[offset:], data)
	return content
}

// ForEachCrashState calls visit with folders as they may be found after a power loss, and returns their number. With at most
// maxExhaustive unsynced parts, it visits every combination of surviving parts: once with whole sectors and, unless no part survives,
// once with torn sectors. With more parts, it visits the states in which no part and all parts survive, and 1<<maxExhaustive
// combinations that are drawn at random from the seed.
func (f *Folder) ForEachCrashState(maxExhaustive int, seed int64, visit func(crashState *Folder)) (states int) {
	parts := f.CountUnsyncedParts()
	random := rand.New(rand.NewSource(seed))
	visitState := func(survives func(int) bool, tear int) {
		states++
		visit(f.AfterPowerLoss(survives, tear))
	}
	if parts <= maxExhaustive {
		for bits := range 1 << parts {
			survives := func(part int) bool { return bits>>part&1 == 1 }
			visitState(survives, noTear)
			if bits > 0 {
				visitState(survives, random.Intn(sectorSize))
			}
		}
		return states
	}
	visitState(func(int) bool { return false }, noTear)
	visitState(func(int) bool { return true }, noTear)
	for range 1 << maxExhaustive {
		survives, tear := drawState(rand.New(rand.NewSource(random.Int63())), parts)
		visitState(survives, tear)
	}
	return states
}

// drawState draws at random which parts reach the disk and, in half of the cases, at which byte their sectors are torn.
func drawState(random *rand.Rand, parts int) (survives func(part int) bool, tear int) {
	surviving := make([]bool, parts)
	for part := range surviving {
		surviving[part] = random.Intn(2) == 0
	}
	tear = noTear
	if random.Intn(2) == 0 {
		tear = random.Intn(sectorSize)
	}
	return func(part int) bool { return surviving[part] }, tear
}
