package costmodel

import (
	"sync"
	"sync/atomic"

	"magpiebank/internal/query/sqltext"
)

// TableLookup returns what an operator has declared about a table: its approximate number of rows, and the columns by
// which an engine finds rows without reading the whole table. ok is false if nothing is declared.
type TableLookup func(t *Table) (rows float64, keys []string, ok bool)

// Model learns the costs of statements from finished queries. Its methods are safe for concurrent use.
type Model struct {
	shapes   *Cache[*shapeInfo] // by shape
	records  *Cache[*record]    // by shape and group of tables
	ageHours atomic.Int64       // age of the model, which AdvanceHours increases

	mu         sync.Mutex // guards tables, classes, regression and groups
	tables     TableLookup
	classes    []classCost
	regression regression
	groups     map[int]*tableGroup

	skewSearches    atomic.Int64 // searches in progress for a literal that determines the cost of a shape
	maxSkewSearches int64

	// Counters since the model was created.
	Statements   atomic.Int64 // statements that were inspected
	Parsed       atomic.Int64 // new shapes whose features were read
	Unparsed     atomic.Int64 // those among them that the parser rejected
	Shifts       atomic.Int64 // shifts of a cost that were detected
	SplitShapes  atomic.Int64 // shapes whose cost was found to depend on a literal
	Observations atomic.Int64
	Mispredicted atomic.Int64 // observations above three times the estimate, or below a third of it
}

// shapeInfo is what the model derives from the first statement of a shape.
type shapeInfo struct {
	features        *Features
	regressionInput [regressionTerms]float64 // inputs of the regression
	fullScanTable   string                   // name of a table that is read completely; empty: none
}

// classCost is the mean of the logarithms of the costs of a class, and the number of observations in the mean.
type classCost struct{ mean, count float64 }

// maxClassObservations limits the weight of the mean of a class, so that the mean follows changes of the workload.
const maxClassObservations = 500

// tableGroup counts the loads of data that have ended on a group of tables.
type tableGroup struct{ loads int }

// maxTableGroups limits the number of groups whose loads are counted; installations have a few hundred.
const maxTableGroups = 1 << 14

// The division of a model's memory: a quarter is for the shapes, the rest for the records. Searches for skew take up
// to a sixteenth in addition.
const (
	shapesMemoryDivisor = 4
	skewMemoryDivisor   = 16
)

// NewModel returns a model for the given number of classes that takes up to about the given number of bytes. tables
// may be nil.
func NewModel(bytes int64, classes int, tables TableLookup) *Model {
	m := &Model{tables: tables, classes: make([]classCost, classes), groups: map[int]*tableGroup{}}
	shapeBytes := bytes / shapesMemoryDivisor
	m.shapes = NewCache[*shapeInfo](shapeBytes, shapeInfoBytes)
	m.records = NewCache[*record](bytes-shapeBytes, recordBytes)
	m.regression.reset()
	m.maxSkewSearches = bytes / skewMemoryDivisor / int64(skewBytes)
	return m
}

// SetTables replaces what the operator has declared about tables. The features of all shapes are dropped, and are
// read again from the next statement of each shape, because its predicates may use other keys now.
func (m *Model) SetTables(tables TableLookup) {
	m.mu.Lock()
	m.tables = tables
	m.mu.Unlock()
	m.shapes.Clear()
}

// AdvanceHours increases the age of the model, which determines the decay of old observations.
func (m *Model) AdvanceHours(hours int64) { m.ageHours.Add(hours) }

// halfLifeHours is the time in which the weight of a record's observations halves. It is a day because data is
// usually loaded once a day.
const halfLifeHours = 24

// The memory of a cache entry with everything that it points to. TestModelStaysWithinBytes checks the total.
const (
	shapeInfoBytes = 1100
	recordBytes    = 420
)

// Query is a statement whose shape Inspect has determined.
type Query struct {
	Shape uint64
	Group int // group of tables; 0: none
	Class int
	info  *shapeInfo

	literals sqltext.Literals
}

// Features returns the features of the query's shape. Queries of the shape share them, so they must not be changed.
func (q *Query) Features() *Features { return q.info.features }

// recordKey returns the key of the record of a shape on a group of tables.
func recordKey(shape uint64, group int) uint64 {
	return shape ^ (uint64(group)+1)*0x9e3779b97f4a7c15
}

// Inspect determines the shape of a statement, and reads the features of the statement if the shape is new. It
// allocates nothing for a known shape.
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
		info.fullScanTable = table.String()
	}
	info.regressionInput = regressionInput(features, info.fullScanTable != "", tables)
	return info
}

// RecordLoad counts a load of data that has ended on a group of tables. The estimate for a shape that reads the group
// is uncertain until some of its queries have been observed after the load.
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

// loadsOf returns the number of loads that have ended on a group of tables. The caller must hold m.mu.
func (m *Model) loadsOf(group int) int {
	if g := m.groups[group]; g != nil {
		return g.loads
	}
	return 0
}
