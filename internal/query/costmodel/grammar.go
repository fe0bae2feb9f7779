package costmodel

import "strings"

// A statement is a syntax tree of the analytic subset of MySQL's language. Expressions are flat lists that alternate
// between operands and operators. Predicates are recognized by their operators, without regard to precedence. Only
// AND and OR matter: readWhere splits a condition at them.
//
// The tags define the grammar, in the syntax of the participle library. The parser in parse.go was written by hand
// from them, because the parser that participle builds from the tags takes 1.8 ms for one statement in a thousand.
// TestParserAgreesWithGrammar compares the two.
type (
	statement struct {
		With   []*commonTable   `parser:"( 'WITH' 'RECURSIVE'? @@ ( ',' @@ )* )?"`
		Query  *queryExpression `parser:"( @@"`
		Insert *insertStatement `parser:"| @@"`
		Load   *loadStatement   `parser:"| @@"`
		Update *updateStatement `parser:"| @@"`
		Delete *deleteStatement `parser:"| @@ ) ';'?"`
	}
	commonTable struct {
		Name    string           `parser:"@Name"`
		Columns []string         `parser:"( '(' @Name ( ',' @Name )* ')' )?"`
		Query   *queryExpression `parser:"'AS' '(' @@ ')'"`
	}
	queryExpression struct {
		First *selectQuery   `parser:"@@"`
		Rest  []*selectQuery `parser:"( ( 'UNION' | 'EXCEPT' | 'INTERSECT' ) ( 'ALL' | 'DISTINCT' )? @@ )*"`
		Order []*orderTerm   `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit []string       `parser:"( 'LIMIT' @( Number | Text ) ( ',' @( Number | Text ) | 'OFFSET' ( Number | Text ) )? )?"`
	}
	selectQuery struct {
		Nested   *queryExpression  `parser:"( '(' @@ ')'"`
		Hints    []string          `parser:"| 'SELECT' @Hint*"`
		Distinct bool              `parser:"@( 'DISTINCT' | 'ALL' | 'STRAIGHT_JOIN' )*"`
		Columns  []*selectItem     `parser:"@@ ( ',' @@ )*"`
		From     []*tableReference `parser:"( 'FROM' @@ ( ',' @@ )* )?"`
		Where    *expression       `parser:"( 'WHERE' @@ )?"`
		Group    []*expression     `parser:"( 'GROUP' 'BY' @@ ( ',' @@ )* ( 'WITH' 'ROLLUP' )? )?"`
		Having   *expression       `parser:"( 'HAVING' @@ )?"`
		Window   []*namedWindow    `parser:"( 'WINDOW' @@ ( ',' @@ )* )?"`
		Order    []*orderTerm      `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit    []string          `parser:"( 'LIMIT' @( Number | Text ) ( ',' @( Number | Text ) | 'OFFSET' ( Number | Text ) )? )?"`
		Lock     []string          `parser:"( 'FOR' @( 'UPDATE' | Name )+ )? )"`
	}
	selectItem struct {
		Star  bool        `parser:"( @'*'"`
		Value *expression `parser:"| @@ )"`
		Name  string      `parser:"( 'AS'? @( Name | Text ) )?"`
	}
	orderTerm struct {
		Value *expression `parser:"@@ ( 'ASC' | 'DESC' )?"`
	}
	namedWindow struct {
		Name string      `parser:"@Name 'AS'"`
		Spec *windowSpec `parser:"'(' @@ ')'"`
	}
	tableReference struct {
		Table *tableFactor   `parser:"@@"`
		Joins []*joinedTable `parser:"@@*"`
	}
	joinedTable struct {
		Kind  []string     `parser:"@( 'JOIN' | 'INNER' | 'LEFT' | 'RIGHT' | 'OUTER' | 'CROSS' | 'NATURAL' | 'STRAIGHT_JOIN' )+"`
		Table *tableFactor `parser:"@@"`
		On    *expression  `parser:"( 'ON' @@"`
		Using []string     `parser:"| 'USING' '(' @Name ( ',' @Name )* ')' )?"`
	}
	tableFactor struct {
		Query *queryExpression  `parser:"( 'LATERAL'? '(' @@ ')'"`
		Group []*tableReference `parser:"| '(' @@ ( ',' @@ )* ')'"`
		Name  []string          `parser:"| @Name ( '.' @Name )* )"`
		Alias string            `parser:"( 'AS'? @Name )?"`
		Index []string          `parser:"( ( 'USE' | 'FORCE' | 'IGNORE' ) ( 'INDEX' | 'KEY' ) '(' @Name ( ',' @Name )* ')' )?"`
	}
	expression struct {
		First *operand     `parser:"@@"`
		Rest  []*operation `parser:"@@*"`
	}
	operation struct {
		Op    []string `parser:"@( 'AND' | 'OR' | 'XOR' | 'NOT' | 'IN' | 'LIKE' | 'REGEXP' | 'RLIKE' | 'BETWEEN' | 'IS' | 'DIV' | 'MOD' | 'COLLATE' | 'ESCAPE' | '=' | '<' | '>' | '!' | '+' | '-' | '*' | '/' | '%' | '|' | '&' | '^' | ':' )+"`
		Value *operand `parser:"@@"`
	}
	operand struct {
		Prefix   []string         `parser:"@( 'NOT' | '-' | '+' | '~' | '!' | 'BINARY' | 'EXISTS' | 'DISTINCT' | 'ALL' | 'ANY' )*"`
		Literal  string           `parser:"( @( Number | Text | 'NULL' | 'TRUE' | 'FALSE' )"`
		Case     *caseExpression  `parser:"| @@"`
		Interval *interval        `parser:"| @@"`
		Query    *queryExpression `parser:"| '(' @@ ')'"`
		List     []*expression    `parser:"| '(' @@ ( ',' @@ )* ')'"`
		Name     []string         `parser:"| @Name ( '.' @( Name | '*' ) )*"`
		Call     *callSuffix      `parser:"  @@? )"`
	}
	callSuffix struct {
		Open  bool            `parser:"@'('"`
		Star  bool            `parser:"( @'*'"`
		Args  []*callArgument `parser:"| @@ ( ',' @@ )* )?"`
		Order []*orderTerm    `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )? ( 'SEPARATOR' Text )? ')'"`
		Over  *windowSpec     `parser:"( 'OVER' ( '(' @@ ')'"`
		Named string          `parser:"| @Name ) )?"` // the name of a window in the WINDOW clause
	}
	callArgument struct {
		Value *expression `parser:"@@"`
		As    string      `parser:"( ( 'AS' | 'USING' | 'FROM' ) @Name ( '(' Number ( ',' Number )* ')' )? )?"`
	}
	windowSpec struct {
		Base  string        `parser:"@Name?"`
		By    []*expression `parser:"( 'PARTITION' 'BY' @@ ( ',' @@ )* )?"`
		Order []*orderTerm  `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Frame []string      `parser:"( @( 'ROWS' | 'RANGE' ) @( Name | Number | 'BETWEEN' | 'AND' )+ )?"`
	}
	interval struct {
		Value *expression `parser:"'INTERVAL' @@"`
		Unit  string      `parser:"@Name"`
	}
	caseExpression struct {
		Of   *expression   `parser:"'CASE' @@?"`
		When []*caseBranch `parser:"@@+"`
		Else *expression   `parser:"( 'ELSE' @@ )? 'END'"`
	}
	caseBranch struct {
		If   *expression `parser:"'WHEN' @@"`
		Then *expression `parser:"'THEN' @@"`
	}
	insertStatement struct {
		Verb    string           `parser:"@( 'INSERT' | 'REPLACE' ) ( 'IGNORE' | 'LOW_PRIORITY' | 'DELAYED' )* 'INTO'?"`
		Table   []string         `parser:"@Name ( '.' @Name )*"`
		Columns []string         `parser:"( '(' @Name ( ',' @Name )* ')' )?"`
		Rows    []*valueRow      `parser:"( ( 'VALUES' | 'VALUE' ) @@ ( ',' @@ )*"`
		Query   *queryExpression `parser:"| @@"`
		Set     []*expression    `parser:"| 'SET' @@ ( ',' @@ )* )"`
		Update  []*expression    `parser:"( 'ON' 'DUPLICATE' 'KEY' 'UPDATE' @@ ( ',' @@ )* )?"`
	}
	valueRow struct {
		Values []*expression `parser:"'(' ( @@ ( ',' @@ )* )? ')'"`
	}
	loadStatement struct {
		File  string   `parser:"'LOAD' 'DATA' 'LOCAL'? 'INFILE' @Text ( 'REPLACE' | 'IGNORE' )? 'INTO' 'TABLE'"`
		Table []string `parser:"@Name ( '.' @Name )*"`
		More  []string `parser:"@( Name | Text | Number | '(' | ')' | ',' | '=' | 'SET' | 'BY' | 'IGNORE' | 'ROWS' )*"`
	}
	updateStatement struct {
		From  []*tableReference `parser:"'UPDATE' ( 'IGNORE' | 'LOW_PRIORITY' )* @@ ( ',' @@ )*"`
		Set   []*expression     `parser:"'SET' @@ ( ',' @@ )*"`
		Where *expression       `parser:"( 'WHERE' @@ )?"`
		Order []*orderTerm      `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit []string          `parser:"( 'LIMIT' @( Number | Text ) )?"`
	}
	deleteStatement struct {
		Names []string          `parser:"'DELETE' ( 'IGNORE' | 'QUICK' | 'LOW_PRIORITY' )* ( @Name ( '.' @( Name | '*' ) )* )?"`
		From  []*tableReference `parser:"'FROM' @@ ( ',' @@ )*"`
		Where *expression       `parser:"( 'WHERE' @@ )?"`
		Order []*orderTerm      `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit []string          `parser:"( 'LIMIT' @( Number | Text ) )?"`
	}
)

// keywords are the words that occur in the grammar; any other word is a name. Each maps to itself, so that a lookup
// returns a string without allocating it.
var keywords = func() map[string]string {
	m := map[string]string{}
	for _, w := range strings.Fields(`WITH RECURSIVE AS UNION EXCEPT INTERSECT ALL DISTINCT ORDER BY LIMIT OFFSET SELECT STRAIGHT_JOIN
		FROM WHERE GROUP HAVING WINDOW FOR UPDATE ASC DESC JOIN INNER LEFT RIGHT OUTER CROSS NATURAL ON USING LATERAL USE FORCE
		IGNORE INDEX KEY AND OR XOR NOT IN LIKE REGEXP RLIKE BETWEEN IS DIV MOD COLLATE ESCAPE BINARY EXISTS ANY NULL TRUE FALSE
		SEPARATOR OVER PARTITION ROWS RANGE INTERVAL CASE WHEN THEN ELSE END INSERT REPLACE INTO VALUES VALUE SET DUPLICATE LOAD
		DATA LOCAL INFILE TABLE DELETE QUICK LOW_PRIORITY DELAYED ROLLUP`) {
		m[w] = w
	}
	return m
}()
