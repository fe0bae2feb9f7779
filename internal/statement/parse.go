package statement

import (
	"errors"
	"io"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"magpiebank/internal/sqltext"
)

// The grammar is the analytic part of MySQL's language. Expressions are kept flat, terms and operators in turn, as
// predicates are told apart by their ends and not by precedence; only AND and OR matter, and the reader splits at them.
type (
	tree struct {
		With   []*cte  `parser:"( 'WITH' 'RECURSIVE'? @@ ( ',' @@ )* )?"`
		Query  *union  `parser:"( @@"`
		Insert *insert `parser:"| @@"`
		Load   *load   `parser:"| @@"`
		Update *update `parser:"| @@"`
		Delete *remove `parser:"| @@ ) ';'?"`
	}
	cte struct {
		Name    string   `parser:"@Name"`
		Columns []string `parser:"( '(' @Name ( ',' @Name )* ')' )?"`
		Query   *union   `parser:"'AS' '(' @@ ')'"`
	}
	union struct {
		First *selected   `parser:"@@"`
		Rest  []*selected `parser:"( ( 'UNION' | 'EXCEPT' | 'INTERSECT' ) ( 'ALL' | 'DISTINCT' )? @@ )*"`
		Order []*term     `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit []string    `parser:"( 'LIMIT' @( Number | Text ) ( ( ',' | 'OFFSET' ) @( Number | Text ) )? )?"`
	}
	selected struct {
		Nested   *union   `parser:"( '(' @@ ')'"`
		Hints    []string `parser:"| 'SELECT' @Hint*"`
		Distinct bool     `parser:"@( 'DISTINCT' | 'ALL' | 'STRAIGHT_JOIN' )*"`
		Columns  []*item  `parser:"@@ ( ',' @@ )*"`
		From     []*from  `parser:"( 'FROM' @@ ( ',' @@ )* )?"`
		Where    *expr    `parser:"( 'WHERE' @@ )?"`
		Group    []*expr  `parser:"( 'GROUP' 'BY' @@ ( ',' @@ )* ( 'WITH' 'ROLLUP' )? )?"`
		Having   *expr    `parser:"( 'HAVING' @@ )?"`
		Window   []*win   `parser:"( 'WINDOW' @@ ( ',' @@ )* )?"`
		Order    []*term  `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit    []string `parser:"( 'LIMIT' @( Number | Text ) ( ( ',' | 'OFFSET' ) @( Number | Text ) )? )?"`
		Lock     []string `parser:"( 'FOR' @( 'UPDATE' | Name )+ )? )"`
	}
	item struct {
		Star  bool   `parser:"( @'*'"`
		Value *expr  `parser:"| @@ )"`
		Name  string `parser:"( 'AS'? @( Name | Text ) )?"`
	}
	term struct {
		Value *expr `parser:"@@ ( 'ASC' | 'DESC' )?"`
	}
	win struct {
		Name string `parser:"@Name 'AS'"`
		Spec *over  `parser:"'(' @@ ')'"`
	}
	from struct {
		Table *table  `parser:"@@"`
		Joins []*join `parser:"@@*"`
	}
	join struct {
		Kind  []string `parser:"@( 'JOIN' | 'INNER' | 'LEFT' | 'RIGHT' | 'OUTER' | 'CROSS' | 'NATURAL' | 'STRAIGHT_JOIN' )+"`
		Table *table   `parser:"@@"`
		On    *expr    `parser:"( 'ON' @@"`
		Using []string `parser:"| 'USING' '(' @Name ( ',' @Name )* ')' )?"`
	}
	table struct {
		Query *union   `parser:"( 'LATERAL'? '(' @@ ')'"`
		Group []*from  `parser:"| '(' @@ ( ',' @@ )* ')'"`
		Name  []string `parser:"| @Name ( '.' @Name )* )"`
		Alias string   `parser:"( 'AS'? @Name )?"`
		Index []string `parser:"( ( 'USE' | 'FORCE' | 'IGNORE' ) ( 'INDEX' | 'KEY' ) '(' @Name ( ',' @Name )* ')' )?"`
	}
	expr struct {
		First *value  `parser:"@@"`
		Rest  []*pair `parser:"@@*"`
	}
	pair struct {
		Op    []string `parser:"@( 'AND' | 'OR' | 'XOR' | 'NOT' | 'IN' | 'LIKE' | 'REGEXP' | 'RLIKE' | 'BETWEEN' | 'IS' | 'DIV' | 'MOD' | 'COLLATE' | 'ESCAPE' | '=' | '<' | '>' | '!' | '+' | '-' | '*' | '/' | '%' | '|' | '&' | '^' | ':' )+"`
		Value *value   `parser:"@@"`
	}
	value struct {
		Prefix  []string `parser:"@( 'NOT' | '-' | '+' | '~' | '!' | 'BINARY' | 'EXISTS' | 'DISTINCT' | 'ALL' | 'ANY' )*"`
		Literal string   `parser:"( @( Number | Text | 'NULL' | 'TRUE' | 'FALSE' )"`
		Case    *kase    `parser:"| @@"`
		Gap     *gap     `parser:"| @@"`
		Query   *union   `parser:"| '(' @@ ')'"`
		List    []*expr  `parser:"| '(' @@ ( ',' @@ )* ')'"`
		Name    []string `parser:"| @Name ( '.' @( Name | '*' ) )*"`
		Call    *call    `parser:"  @@? )"`
	}
	call struct {
		Open  bool    `parser:"@'('"`
		Star  bool    `parser:"( @'*'"`
		Args  []*arg  `parser:"| @@ ( ',' @@ )* )?"`
		Order []*term `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )? ( 'SEPARATOR' Text )? ')'"`
		Over  *over   `parser:"( 'OVER' ( '(' @@ ')' | Name ) )?"`
	}
	arg struct {
		Value *expr  `parser:"@@"`
		As    string `parser:"( ( 'AS' | 'USING' | 'FROM' ) @Name ( '(' Number ( ',' Number )* ')' )? )?"`
	}
	over struct {
		Base  string   `parser:"@Name?"`
		By    []*expr  `parser:"( 'PARTITION' 'BY' @@ ( ',' @@ )* )?"`
		Order []*term  `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Frame []string `parser:"( @( 'ROWS' | 'RANGE' ) @( Name | Number | 'BETWEEN' | 'AND' )+ )?"`
	}
	gap struct {
		Value *expr  `parser:"'INTERVAL' @@"`
		Unit  string `parser:"@Name"`
	}
	kase struct {
		Of   *expr   `parser:"'CASE' @@?"`
		When []*when `parser:"@@+"`
		Else *expr   `parser:"( 'ELSE' @@ )? 'END'"`
	}
	when struct {
		If   *expr `parser:"'WHEN' @@"`
		Then *expr `parser:"'THEN' @@"`
	}
	insert struct {
		Verb    string   `parser:"@( 'INSERT' | 'REPLACE' ) ( 'IGNORE' | 'LOW_PRIORITY' | 'DELAYED' )* 'INTO'?"`
		Table   []string `parser:"@Name ( '.' @Name )*"`
		Columns []string `parser:"( '(' @Name ( ',' @Name )* ')' )?"`
		Rows    []*row   `parser:"( ( 'VALUES' | 'VALUE' ) @@ ( ',' @@ )*"`
		Query   *union   `parser:"| @@"`
		Set     []*expr  `parser:"| 'SET' @@ ( ',' @@ )* )"`
		Update  []*expr  `parser:"( 'ON' 'DUPLICATE' 'KEY' 'UPDATE' @@ ( ',' @@ )* )?"`
	}
	row struct {
		Values []*expr `parser:"'(' ( @@ ( ',' @@ )* )? ')'"`
	}
	load struct {
		File  string   `parser:"'LOAD' 'DATA' 'LOCAL'? 'INFILE' @Text ( 'REPLACE' | 'IGNORE' )? 'INTO' 'TABLE'"`
		Table []string `parser:"@Name ( '.' @Name )*"`
		More  []string `parser:"@( Name | Text | Number | '(' | ')' | ',' | '=' | '.' | 'SET' | 'BY' | 'IGNORE' | 'ROWS' )*"`
	}
	update struct {
		From  []*from  `parser:"'UPDATE' ( 'IGNORE' | 'LOW_PRIORITY' )* @@ ( ',' @@ )*"`
		Set   []*expr  `parser:"'SET' @@ ( ',' @@ )*"`
		Where *expr    `parser:"( 'WHERE' @@ )?"`
		Order []*term  `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit []string `parser:"( 'LIMIT' @( Number | Text ) )?"`
	}
	remove struct {
		Names []string `parser:"'DELETE' ( 'IGNORE' | 'QUICK' | 'LOW_PRIORITY' )* ( @Name ( '.' @( Name | '*' ) )* )?"`
		From  []*from  `parser:"'FROM' @@ ( ',' @@ )*"`
		Where *expr    `parser:"( 'WHERE' @@ )?"`
		Order []*term  `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
		Limit []string `parser:"( 'LIMIT' @( Number | Text ) )?"`
	}
)

// keywords are the words that the grammar names; any other word is a name.
var keywords = func() map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(`WITH RECURSIVE AS UNION EXCEPT INTERSECT ALL DISTINCT ORDER BY LIMIT OFFSET SELECT STRAIGHT_JOIN
		FROM WHERE GROUP HAVING WINDOW FOR UPDATE ASC DESC JOIN INNER LEFT RIGHT OUTER CROSS NATURAL ON USING LATERAL USE FORCE
		IGNORE INDEX KEY AND OR XOR NOT IN LIKE REGEXP RLIKE BETWEEN IS DIV MOD COLLATE ESCAPE BINARY EXISTS ANY NULL TRUE FALSE
		SEPARATOR OVER PARTITION ROWS RANGE INTERVAL CASE WHEN THEN ELSE END INSERT REPLACE INTO VALUES VALUE SET DUPLICATE LOAD
		DATA LOCAL INFILE TABLE DELETE QUICK LOW_PRIORITY DELAYED ROLLUP`) {
		m[w] = true
	}
	return m
}()

// The token types that the grammar sees.
const (
	typeName lexer.TokenType = iota - 100
	typeKey
	typeText
	typeNumber
	typeHint
	typeSign
)

// definition has participle read our lexer's tokens.
type definition struct{}

func (definition) Symbols() map[string]lexer.TokenType {
	return map[string]lexer.TokenType{"EOF": lexer.EOF, "Name": typeName, "Key": typeKey, "Text": typeText, "Number": typeNumber,
		"Hint": typeHint, "Sign": typeSign}
}

func (definition) Lex(string, io.Reader) (lexer.Lexer, error) {
	return nil, errors.New("statements are read from bytes")
}

type tokens struct {
	l    sqltext.Lexer
	last bool // the token before was a dot, so a word is a name
}

// Next hands out the next token; MySQL takes any word behind a dot for a name, and function names are names.
func (t *tokens) Next() (lexer.Token, error) {
	tok := t.l.Next()
	out := lexer.Token{Pos: lexer.Position{Offset: tok.From}}
	dot := t.last
	t.last = tok.Sign == '.'
	text := t.l.Bytes(tok)
	switch tok.Kind {
	case sqltext.End:
		out.Type = lexer.EOF
		return out, nil
	case sqltext.Word:
		out.Type, out.Value = typeName, string(text)
		if upper := strings.ToUpper(out.Value); !dot && keywords[upper] && !(callable[upper] && t.l.Peek().Sign == '(') {
			out.Type, out.Value = typeKey, upper
		}
	case sqltext.Quoted:
		out.Type, out.Value = typeName, string(text)
	case sqltext.Text:
		if tok.Open {
			return out, errOpen
		}
		out.Type, out.Value = typeText, "'"+string(text)
	case sqltext.Number:
		out.Type, out.Value = typeNumber, string(text)
	case sqltext.Hint:
		out.Type, out.Value = typeHint, string(text)
	default:
		out.Type, out.Value = typeSign, string(rune(tok.Sign))
	}
	return out, nil
}

// callable are keywords that are functions when a bracket follows.
var callable = map[string]bool{"LEFT": true, "RIGHT": true, "REPLACE": true, "MOD": true, "INSERT": true, "VALUES": true}

var errOpen = errors.New("a string that doesn't end")

// The budget of a parse. Statements of people and tools have some hundred tokens and nest some ten deep; what is beyond is
// classed from its tokens, so that one parse stays within a millisecond.
const (
	mostTokens = 1200
	mostNested = 24
)

// parser is built when the first statement is parsed: a gateway that classes nothing doesn't pay for it.
var parser = sync.OnceValues(func() (*participle.Parser[tree], error) {
	return participle.Build[tree](participle.Lexer(definition{}), participle.UseLookahead(3))
})

var errBudget = errors.New("more tokens or brackets than are parsed")

// parse reads a statement by the grammar.
func parse(sql []byte) (*tree, error) {
	l := sqltext.Lexer{Text: sql}
	for n, depth := 0, 0; ; n++ {
		t := l.Next()
		if t.Kind == sqltext.End {
			break
		}
		switch t.Sign {
		case '(':
			depth++
		case ')':
			depth--
		}
		if n > mostTokens || depth > mostNested {
			return nil, errBudget
		}
	}
	p, err := parser()
	if err != nil {
		return nil, err
	}
	peeker, err := lexer.Upgrade(&tokens{l: sqltext.Lexer{Text: sql}})
	if err != nil {
		return nil, err
	}
	return p.ParseFromLexer(peeker)
}
