package costmodel

import (
	"sync"
	"sync/atomic"

	"magpiebank/internal/query/sqltext"
)

// TableLookup returns what an operator has declared of a table: about how many rows it has, and the columns by which an
// engine finds rows without reading the whole table. ok is false if nothing is declared.
type TableLookup func(t *Table) (rows float64, keys []string, ok bool)

// Model learns the costs of statements from finished queries. Its methods may be called from several goroutines.
type Model struct {
	shapes  *Cache[*shapeInfo] // by shape
	records *Cache[*record]    // by shape and group of tables
	hours   atomic.Int64       // the model's age, which AdvanceHours moves

	mu         sync.Mutex // guards the fields below
	tables     TableLookup
	classes    []classCost
	regression regression
	groups     map[int]*tableGroup

	skewSearches    atomic.Int64 // searches for a literal that determines a shape's cost, under way now
	maxSkewSearches int64

	// Counters since the start.
	Statements   atomic.Int64 // inspected
	Parsed       atomic.Int64 // shapes that were parsed
	Unparsed     atomic.Int64 // of those, the ones that the grammar does not take
	Shifts       atomic.Int64 // changes of a cost that were detected
	SplitShapes  atomic.Int64 // shapes whose cost depends on a literal
	Observations atomic.Int64
	Mispredicted atomic.Int64 // observations that took three times the estimate or more, or a third of it or less
}

// shapeInfo is what the text of a shape's first statement says.
type shapeInfo struct {
	features *Features
	input    [regressionTerms]float64
	fullScan string
}

// classCost is the mean of the logarithms of a class's costs, and how many observations it rests on.
type classCost struct{ mean, count float64 }

// maxClassObservations bounds the weight of a class's mean, so that it follows a mix that changes.
const maxClassObservations = 500

// tableGroup counts the loads of data that have ended on a group of tables.
type tableGroup struct{ loads int }

// maxTableGroups bounds the groups that are told apart; installations have some hundred.
const maxTableGroups = 1 << 14

// The shares of a model's memory: a quarter for the shapes, the rest for the records. Searches for skew take up to a
// sixteenth beside it.
const (
	shapesMemoryDivisor = 4
	skewMemoryDivisor   = 16
)

// NewModel returns a model for so many classes that takes up to about so many bytes. tables may be nil.
func NewModel(bytes int64, classes int, tables TableLookup) *Model {
	m := &Model{tables: tables, classes: make([]classCost, classes), groups: map[int]*tableGroup{}}
	shapeBytes := bytes / shapesMemoryDivisor
	m.shapes = NewCache[*shapeInfo](shapeBytes, shapeInfoBytes)
	m.records = NewCache[*record](bytes-shapeBytes, recordBytes)
	m.regression.reset()
	m.maxSkewSearches = bytes / skewMemoryDivisor / int64(skewBytes)
	return m
}

// SetTables replaces what the operator has declared of tables. Shapes are parsed again when they come next, as their
// predicates may use other keys.
func (m *Model) SetTables(tables TableLookup) {
	m.mu.Lock()
	m.tables = tables
	m.mu.Unlock()
	m.shapes.Clear()
}

// AdvanceHours adds to the model's age, by which old observations fade.
func (m *Model) AdvanceHours(hours int64) { m.hours.Add(hours) }

// halfLifeHours is the time in which the weight of a record's observations halves. It is a day because loads of data
// come by the day.
const halfLifeHours = 24

// The memory of a cache's entry with all that it points to, as measured by TestModelStaysWithinBytes.
const (
	shapeInfoBytes = 1100
	recordBytes    = 420
)

// Query is a statement that Inspect has recognised.
type Query struct {
	Shape uint64
	Group int // of tables; 0: none
	Class int
	info  *shapeInfo

	literals sqltext.Literals
}

// Features returns the features of the query's shape, which are shared and must not be changed.
func (q *Query) Features() *Features { return q.info.features }

// recordKey is the key of the record of a shape on a group of tables.
func recordKey(shape uint64, group int) uint64 {
	return shape ^ (uint64(group)+1)*0x9e3779b97f4a7c15
}

// Inspect finds a statement's shape, and parses the statement if the shape is new. It allocates nothing for a shape that
// is known.
func (m *Model) Inspect(sql []byte, group, class int) Query {
	q := Query{Group: group, Class: class}
	q.Shape, q.literals = sqltext.ShapeAndLiterals(sql)
	m.Statements.Add(1)
	known, ok := m.shapes.Get(q.Shape)
	if ok {
		q.info = known
		return q
	}
	m.mu.Lock()
	tables := m.tables
	m.mu.Unlock()
	features := ReadFeaturesWithTables(sql, tables)
	m.Parsed.Add(1)
	if !features.Parsed {
		m.Unparsed.Add(1)
	}
	q.info = newShapeInfo(features, tables)
	m.shapes.Put(q.Shape, q.info)
	return q
}

func newShapeInfo(features *Features, tables TableLookup) *shapeInfo {
	info := &shapeInfo{features: features}
	if table := features.FullScan(); table != nil {
		info.fullScan = table.String()
	}
	info.input = regressionInput(features, info.fullScan != "", tables)
	return info
}

// RecordLoad notes that a load of data has ended on a group of tables. Estimates of queries that read the group are
// uncertain until some of them have been observed again.
func (m *Model) RecordLoad(group int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[group]
	if g == nil {
		if len(m.groups) >= maxTableGroups {
			return
		}
		g = &tableGroup{}
		m.groups[group] = g
	}
	g.loads++
}

// loadsOf returns how many loads have ended on a group of tables. The caller holds m.mu.
func (m *Model) loadsOf(group int) int {
	if g := m.groups[group]; g != nil {
		return g.loads
	}
	return 0
}
