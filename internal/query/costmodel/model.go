package costmodel

import (
	"sync"
	"sync/atomic"

	"magpiebank/internal/query/sqltext"
)

// TableLookup knows what an operator says of tables.
type TableLookup func(t *Table) (rows float64, keys []string, ok bool)

// Model holds what answers have taught of statements. Its calls may come from many goroutines.
type Model struct {
	shapes  *Cache[*shapeInfo]
	records *Cache[*record]
	tables  TableLookup

	mu         sync.Mutex // of what all shapes share
	classes    []classCost
	regression regression
	groups     map[int]*tableGroup
	hours      atomic.Int64 // of age, as told by Age

	skewSearches    atomic.Int64 // shapes that are searched for a literal that matters,
	maxSkewSearches int64        // and how many may be

	// Counts since the start.
	Statements, Parsed, Unparsed, Shifts atomic.Int64
	SplitShapes                          atomic.Int64 // shapes whose cost follows a literal
	Observations, Mispredicted           atomic.Int64 // answers, and those that took three times what was estimated, or a third of it
}

// shapeInfo is what is known of a shape at first sight.
type shapeInfo struct {
	features *Features
	input    [regressionTerms]float64
	fullScan string
}

type classCost struct{ mean, count float64 } // of the logarithms of its costs

// maxClassObservations is how many answers a lane's mean rests on at the most, so that it follows a mix that changes.
const maxClassObservations = 500

type tableGroup struct{ loads int }

// NewModel holds up to so many bytes. tables may be nil.
func NewModel(bytes int64, lanes int, tables TableLookup) *Model {
	m := &Model{tables: tables, classes: make([]classCost, lanes), groups: map[int]*tableGroup{}}
	m.shapes = NewCache[*shapeInfo](bytes/4, shapeInfoBytes)
	m.records = NewCache[*record](bytes-bytes/4, recordBytes)
	m.regression.reset()
	m.maxSkewSearches = bytes / 16 / int64(skewBytes) // they are beside the bytes of the records
	return m
}

// SetTables goes by what an operator says of tables from now on. Shapes are read again, as what narrows them may differ.
func (m *Model) SetTables(tables TableLookup) {
	m.mu.Lock()
	m.tables = tables
	m.mu.Unlock()
	m.shapes.Clear()
}

// AdvanceHours tells how many hours have passed since the last call: old answers fade.
func (m *Model) AdvanceHours(hours int64) { m.hours.Add(hours) }

// halfLifeHours is the hours in which an answer comes to count half, if no other comes: loads of data come by the day.
const halfLifeHours = 24

// What an entry takes with what it points to, as measured by TestBytes.
const (
	shapeInfoBytes = 1100
	recordBytes    = 420
)

// Query is a statement that was looked at.
type Query struct {
	Shape uint64
	Group int
	Class int
	info  *shapeInfo

	literals sqltext.Literals
}

// Features are what is known of the shape.
func (s *Query) Features() *Features { return s.info.features }

func costKey(shape uint64, group int) uint64 {
	return shape ^ (uint64(group)+1)*0x9e3779b97f4a7c15
}

// Inspect finds a statement's shape, and parses it where the shape is new. It is meant for the goroutine that read the
// statement.
func (m *Model) Inspect(sql []byte, group, lane int) Query {
	s := Query{Group: group, Class: lane}
	s.Shape, s.literals = sqltext.ShapeAndLiterals(sql)
	m.Statements.Add(1)
	if known, ok := m.shapes.Get(s.Shape); ok {
		s.info = known
		return s
	}
	m.mu.Lock()
	tables := m.tables
	m.mu.Unlock()
	f := ReadFeaturesWith(sql, tables)
	if m.Parsed.Add(1); !f.Parsed {
		m.Unparsed.Add(1)
	}
	s.info = inspectShape(f, tables)
	m.shapes.Put(s.Shape, s.info)
	return s
}

func inspectShape(f *Features, tables TableLookup) *shapeInfo {
	s := &shapeInfo{features: f}
	if t := f.FullScan(); t != nil {
		s.fullScan = t.String()
	}
	s.input = regressionInput(f, s.fullScan != "", tables)
	return s
}

// RecordLoad takes in that a load has ended on a group of tables: what reads it is in doubt.
func (m *Model) RecordLoad(group int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[group]
	if g == nil {
		const most = 1 << 14 // groups that are told apart; installations have some hundred
		if len(m.groups) >= most {
			return
		}
		g = &tableGroup{}
		m.groups[group] = g
	}
	g.loads++
}
