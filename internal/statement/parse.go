package statement

import (
	"errors"
	"fmt"
	"strings"

	"magpiebank/internal/sqltext"
)

// A tree is the analytic part of MySQL's language. Expressions are kept flat, terms and operators in turn, as predicates are
// told apart by their ends and not by precedence; only AND and OR matter, and the reader splits at them. The tags say what
// is taken; the reader below was written by hand from them, as the parser that a library builds of them takes 1.8 ms for
// one statement in a thousand, and the tests hold the two against each other.
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
		Limit []string    `parser:"( 'LIMIT' @( Number | Text ) ( ',' @( Number | Text ) | 'OFFSET' ( Number | Text ) )? )?"`
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
		Limit    []string `parser:"( 'LIMIT' @( Number | Text ) ( ',' @( Number | Text ) | 'OFFSET' ( Number | Text ) )? )?"`
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
		Over  *over   `parser:"( 'OVER' ( '(' @@ ')'"`
		Named string  `parser:"| @Name ) )?"` // a window that is named elsewhere
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
		More  []string `parser:"@( Name | Text | Number | '(' | ')' | ',' | '=' | 'SET' | 'BY' | 'IGNORE' | 'ROWS' )*"`
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

// keywords are the words that the grammar names, each as itself; any other word is a name.
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

// The budget of a parse. Statements of people and tools have some hundred tokens and nest some ten deep; what is beyond is
// classed from its tokens, so that one parse stays well within a millisecond.
const (
	mostTokens = 1200
	mostNested = 24
)

// token is a lexer's token as the reader needs it; names and literals lie in the statement's text.
type token struct {
	kind  sqltext.Kind
	sign  byte
	call  bool   // a keyword that is a function's name here, as a bracket follows
	key   string // a keyword, in capitals; empty: none
	text  string
	match int // of an opening bracket: where its closing one stands; 0: nowhere
}

// reader reads a tree from tokens. Its methods take what they can from where it stands; the first that finds something
// else than it needs has the rest come to nothing.
type reader struct {
	tokens []token
	at     int
	bad    bool
}

var (
	errOpen   = errors.New("a string that doesn't end")
	errBudget = errors.New("more tokens or brackets than are parsed")
)

// signs are the texts of signs.
var signs = func() (t [256]string) {
	for c := range t {
		t[c] = string(rune(c))
	}
	return t
}()

// callable are keywords that are functions when a bracket follows.
var callable = map[string]bool{"LEFT": true, "RIGHT": true, "REPLACE": true, "MOD": true, "INSERT": true, "VALUES": true}

// key finds a keyword; longest is their longest.
func key(word []byte) string {
	const longest = 13
	if len(word) > longest {
		return ""
	}
	var upper [longest]byte
	for i, c := range word {
		if 'a' <= c && c <= 'z' {
			c -= 'a' - 'A'
		}
		upper[i] = c
	}
	return keywords[string(upper[:len(word)])]
}

// parse reads a statement by the grammar.
func parse(sql []byte) (*tree, error) {
	l := sqltext.Lexer{Text: sql}
	all := string(sql)
	r := reader{tokens: make([]token, 0, 64)}
	var open [mostNested + 1]int
	depth, dot := 0, false
	for {
		t := l.Next()
		k := token{kind: t.Kind, sign: t.Sign}
		if t.Kind == sqltext.End {
			r.tokens = append(r.tokens, k)
			break
		}
		if len(r.tokens) >= mostTokens {
			return nil, errBudget
		}
		k.text = all[t.From:t.To]
		switch t.Kind {
		case sqltext.Word:
			if !dot { // any word behind a dot is a name
				k.key = key(l.Bytes(t))
			}
		case sqltext.Text:
			if t.Open {
				return nil, errOpen
			}
			if t.From > 0 && (all[t.From-1] == '\'' || all[t.From-1] == '"') {
				k.text = all[t.From-1 : t.To]
			}
		case sqltext.Sign:
			k.text = signs[t.Sign]
			switch t.Sign {
			case '(':
				if depth++; depth > mostNested {
					return nil, errBudget
				}
				open[depth] = len(r.tokens)
				if n := len(r.tokens); n > 0 && callable[r.tokens[n-1].key] {
					r.tokens[n-1].call = true
				}
			case ')':
				if depth > 0 {
					r.tokens[open[depth]].match = len(r.tokens)
					depth--
				}
			}
		}
		dot = t.Sign == '.'
		r.tokens = append(r.tokens, k)
	}
	tree := r.tree()
	if r.bad {
		return nil, fmt.Errorf("nothing that is read begins at token %d", r.at+1)
	}
	return tree, nil
}

func (r *reader) now() *token { return &r.tokens[r.at] }

// fail has nothing more be taken.
func (r *reader) fail() {
	r.bad = true
	r.at = min(r.at, len(r.tokens)-1)
}

// is tells whether a keyword or sign stands here.
func (r *reader) is(word string) bool {
	t := r.now()
	return !r.bad && (t.key == word || t.kind == sqltext.Sign && t.text == word)
}

// take passes over a keyword or sign, if it stands here.
func (r *reader) take(word string) bool {
	if r.is(word) {
		r.at++
		return true
	}
	return false
}

// any passes over one of some keywords or signs.
func (r *reader) any(words ...string) bool {
	for _, w := range words {
		if r.take(w) {
			return true
		}
	}
	return false
}

// need passes over keywords or signs that must stand here.
func (r *reader) need(words ...string) {
	for _, w := range words {
		if !r.take(w) {
			r.fail()
			return
		}
	}
}

func (r *reader) isName() bool {
	t := r.now()
	return !r.bad && (t.kind == sqltext.Word && (t.key == "" || t.call) || t.kind == sqltext.Quoted)
}

func (r *reader) isKind(kind sqltext.Kind) bool { return !r.bad && r.now().kind == kind }

// text takes whatever token stands here.
func (r *reader) text() string {
	t := r.now()
	r.at++
	return t.text
}

func (r *reader) name() string {
	if !r.isName() {
		r.fail()
		return ""
	}
	return r.text()
}

// path takes names with dots between them; star: the last may be a star.
func (r *reader) path(star bool) (out []string) {
	out = append(out, r.name())
	for r.take(".") {
		if star && r.is("*") {
			return append(out, r.text())
		}
		out = append(out, r.name())
	}
	return out
}

// series takes one thing and, after each comma, another.
func series[T any](r *reader, one func() T) (out []T) {
	for {
		out = append(out, one())
		if r.bad || !r.take(",") {
			return out
		}
	}
}

// inside takes what stands in brackets.
func inside[T any](r *reader, what func() T) T {
	r.need("(")
	v := what()
	r.need(")")
	return v
}

func (r *reader) names() []string { return series(r, r.name) }

// isUnion tells whether the bracket here holds a query. One in which another stands holds one if that does and what
// follows it goes on with a query.
func (r *reader) isUnion() bool {
	for at := r.at; r.is("(") && r.tokens[at].sign == '('; at++ {
		switch next := &r.tokens[at+1]; {
		case next.key == "SELECT":
			return true
		case next.sign != '(' || next.match == 0:
			return false
		default:
			switch behind := &r.tokens[next.match+1]; {
			case behind.key == "UNION", behind.key == "EXCEPT", behind.key == "INTERSECT", behind.key == "ORDER", behind.key == "LIMIT":
				return true
			case behind.sign != ')':
				return false
			}
		}
	}
	return false
}

func (r *reader) tree() *tree {
	t := &tree{}
	if r.take("WITH") {
		r.take("RECURSIVE")
		t.With = series(r, r.cte)
	}
	switch {
	case r.is("INSERT"), r.is("REPLACE"):
		t.Insert = r.insert()
	case r.is("LOAD"):
		t.Load = r.load()
	case r.is("UPDATE"):
		t.Update = r.update()
	case r.is("DELETE"):
		t.Delete = r.remove()
	default:
		t.Query = r.union()
	}
	r.take(";")
	if !r.isKind(sqltext.End) {
		r.fail()
	}
	return t
}

func (r *reader) cte() *cte {
	c := &cte{Name: r.name()}
	if r.is("(") {
		c.Columns = inside(r, r.names)
	}
	r.need("AS")
	c.Query = inside(r, r.union)
	return c
}

func (r *reader) union() *union {
	u := &union{First: r.selected()}
	for r.any("UNION", "EXCEPT", "INTERSECT") {
		r.any("ALL", "DISTINCT")
		u.Rest = append(u.Rest, r.selected())
	}
	u.Order, u.Limit = r.order(), r.limit()
	return u
}

func (r *reader) order() []*term {
	if !r.take("ORDER") {
		return nil
	}
	r.need("BY")
	return series(r, r.term)
}

func (r *reader) term() *term {
	t := &term{Value: r.expr()}
	r.any("ASC", "DESC")
	return t
}

// limit takes a limit; the last of what is kept is the number of rows.
func (r *reader) limit() (out []string) {
	if !r.take("LIMIT") {
		return nil
	}
	out = append(out, r.amount())
	if r.take(",") {
		out = append(out, r.amount())
	} else if r.take("OFFSET") {
		r.amount()
	}
	return out
}

func (r *reader) amount() string {
	if !r.isKind(sqltext.Number) && !r.isKind(sqltext.Text) {
		r.fail()
		return ""
	}
	return r.text()
}

func (r *reader) selected() *selected {
	s := &selected{}
	if r.is("(") {
		s.Nested = inside(r, r.union)
		return s
	}
	r.need("SELECT")
	for r.isKind(sqltext.Hint) {
		s.Hints = append(s.Hints, r.text())
	}
	for r.any("DISTINCT", "ALL", "STRAIGHT_JOIN") {
		s.Distinct = true
	}
	s.Columns = series(r, r.item)
	if r.take("FROM") {
		s.From = series(r, r.from)
	}
	s.Where = r.after("WHERE")
	if r.take("GROUP") {
		r.need("BY")
		s.Group = series(r, r.expr)
		if r.take("WITH") {
			r.need("ROLLUP")
		}
	}
	s.Having = r.after("HAVING")
	if r.take("WINDOW") {
		s.Window = series(r, r.win)
	}
	s.Order, s.Limit = r.order(), r.limit()
	if r.take("FOR") {
		for n := 0; r.is("UPDATE") || r.isName(); n++ {
			s.Lock = append(s.Lock, r.text())
		}
		if len(s.Lock) == 0 {
			r.fail()
		}
	}
	return s
}

// after is the expression behind a keyword, nil where that doesn't stand here.
func (r *reader) after(word string) *expr {
	if !r.take(word) {
		return nil
	}
	return r.expr()
}

func (r *reader) item() *item {
	i := &item{}
	if i.Star = r.take("*"); !i.Star {
		i.Value = r.expr()
	}
	if r.take("AS") {
		if !r.isName() && !r.isKind(sqltext.Text) {
			r.fail()
			return i
		}
		i.Name = r.text()
	} else if r.isName() || r.isKind(sqltext.Text) {
		i.Name = r.text()
	}
	return i
}

func (r *reader) win() *win {
	w := &win{Name: r.name()}
	r.need("AS")
	w.Spec = inside(r, r.over)
	return w
}

func (r *reader) from() *from {
	f := &from{Table: r.table()}
	for !r.bad {
		var kind []string
		for r.joining() {
			kind = append(kind, r.now().key)
			r.at++
		}
		if kind == nil {
			break
		}
		j := &join{Kind: kind, Table: r.table()}
		if j.On = r.after("ON"); j.On == nil && r.take("USING") {
			j.Using = inside(r, r.names)
		}
		f.Joins = append(f.Joins, j)
	}
	return f
}

func (r *reader) joining() bool {
	switch r.now().key {
	case "JOIN", "INNER", "LEFT", "RIGHT", "OUTER", "CROSS", "NATURAL", "STRAIGHT_JOIN":
		return !r.bad
	}
	return false
}

func (r *reader) table() *table {
	t := &table{}
	switch lateral := r.take("LATERAL"); {
	case lateral, r.isUnion():
		t.Query = inside(r, r.union)
	case r.is("("):
		t.Group = inside(r, func() []*from { return series(r, r.from) })
	default:
		t.Name = r.path(false)
	}
	if r.take("AS") || r.isName() {
		t.Alias = r.name()
	}
	if r.any("USE", "FORCE", "IGNORE") {
		if !r.any("INDEX", "KEY") {
			r.fail()
		}
		t.Index = inside(r, r.names)
	}
	return t
}

// operator tells whether a word or sign is one that stands between two terms.
func (t *token) operator() bool {
	switch t.key {
	case "AND", "OR", "XOR", "NOT", "IN", "LIKE", "REGEXP", "RLIKE", "BETWEEN", "IS", "DIV", "MOD", "COLLATE", "ESCAPE":
		return !t.call
	}
	switch t.sign {
	case '=', '<', '>', '!', '+', '-', '*', '/', '%', '|', '&', '^', ':':
		return true
	}
	return false
}

// word is a keyword in capitals, or a sign.
func (t *token) word() string {
	if t.key != "" {
		return t.key
	}
	return t.text
}

func (r *reader) expr() *expr {
	e := &expr{First: r.value()}
	for !r.bad && r.now().operator() {
		p := &pair{}
		for r.now().operator() {
			p.Op = append(p.Op, r.now().word())
			r.at++
		}
		p.Value = r.value()
		e.Rest = append(e.Rest, p)
	}
	return e
}

func (r *reader) value() *value {
	v := &value{}
	for !r.bad {
		t := r.now()
		switch t.key {
		case "NOT", "BINARY", "EXISTS", "DISTINCT", "ALL", "ANY":
		default:
			if t.sign != '-' && t.sign != '+' && t.sign != '~' && t.sign != '!' {
				return r.operand(v)
			}
		}
		v.Prefix = append(v.Prefix, t.word())
		r.at++
	}
	return v
}

func (r *reader) operand(v *value) *value {
	switch t := r.now(); {
	case t.kind == sqltext.Number, t.kind == sqltext.Text, t.key == "NULL", t.key == "TRUE", t.key == "FALSE":
		v.Literal = r.text()
	case r.take("CASE"):
		v.Case = r.kase()
	case r.take("INTERVAL"):
		v.Gap = &gap{Value: r.expr(), Unit: r.name()}
	case r.isUnion():
		v.Query = inside(r, r.union)
	case r.is("("):
		v.List = inside(r, r.exprs)
	default:
		v.Name = r.path(true)
		if r.is("(") {
			v.Call = r.call()
		}
	}
	return v
}

func (r *reader) exprs() []*expr { return series(r, r.expr) }

func (r *reader) kase() *kase {
	k := &kase{}
	if !r.is("WHEN") {
		k.Of = r.expr()
	}
	for r.take("WHEN") {
		w := &when{If: r.expr()}
		r.need("THEN")
		w.Then = r.expr()
		k.When = append(k.When, w)
	}
	if len(k.When) == 0 {
		r.fail()
	}
	k.Else = r.after("ELSE")
	r.need("END")
	return k
}

func (r *reader) call() *call {
	c := &call{Open: true}
	r.need("(")
	if c.Star = r.take("*"); !c.Star && !r.is(")") && !r.is("ORDER") && !r.is("SEPARATOR") {
		c.Args = series(r, r.arg)
	}
	c.Order = r.order()
	if r.take("SEPARATOR") {
		if !r.isKind(sqltext.Text) {
			r.fail()
			return c
		}
		r.at++
	}
	r.need(")")
	if r.take("OVER") {
		if r.is("(") {
			c.Over = inside(r, r.over)
		} else {
			c.Named = r.name()
		}
	}
	return c
}

func (r *reader) arg() *arg {
	a := &arg{Value: r.expr()}
	if r.any("AS", "USING", "FROM") {
		if a.As = r.name(); r.is("(") {
			inside(r, func() []string { return series(r, r.amount) })
		}
	}
	return a
}

func (r *reader) over() *over {
	o := &over{}
	if r.isName() {
		o.Base = r.text()
	}
	if r.take("PARTITION") {
		r.need("BY")
		o.By = r.exprs()
	}
	o.Order = r.order()
	if r.is("ROWS") || r.is("RANGE") {
		for o.Frame = append(o.Frame, r.text()); r.isName() || r.isKind(sqltext.Number) || r.is("BETWEEN") || r.is("AND"); {
			o.Frame = append(o.Frame, r.text())
		}
	}
	return o
}

func (r *reader) insert() *insert {
	i := &insert{Verb: r.now().key}
	r.at++
	for r.any("IGNORE", "LOW_PRIORITY", "DELAYED") {
	}
	r.take("INTO")
	i.Table = r.path(false)
	if r.is("(") && !r.isUnion() {
		i.Columns = inside(r, r.names)
	}
	switch {
	case r.any("VALUES", "VALUE"):
		i.Rows = series(r, r.row)
	case r.take("SET"):
		i.Set = r.exprs()
	default:
		i.Query = r.union()
	}
	if r.take("ON") {
		r.need("DUPLICATE", "KEY", "UPDATE")
		i.Update = r.exprs()
	}
	return i
}

func (r *reader) row() *row {
	return &row{Values: inside(r, func() []*expr {
		if r.is(")") {
			return nil
		}
		return r.exprs()
	})}
}

func (r *reader) load() *load {
	r.need("LOAD", "DATA")
	r.take("LOCAL")
	r.need("INFILE")
	l := &load{File: r.amount()}
	r.any("REPLACE", "IGNORE")
	r.need("INTO", "TABLE")
	l.Table = r.path(false)
	for !r.bad && !r.isKind(sqltext.End) && !r.is(";") { // how the file is laid out tells nothing of its cost
		r.at++
	}
	return l
}

func (r *reader) update() *update {
	r.need("UPDATE")
	for r.any("IGNORE", "LOW_PRIORITY") {
	}
	u := &update{From: series(r, r.from)}
	r.need("SET")
	u.Set, u.Where, u.Order, u.Limit = r.exprs(), r.after("WHERE"), r.order(), r.limit()
	return u
}

func (r *reader) remove() *remove {
	r.need("DELETE")
	for r.any("IGNORE", "QUICK", "LOW_PRIORITY") {
	}
	d := &remove{}
	if !r.is("FROM") {
		d.Names = r.path(true)
	}
	r.need("FROM")
	d.From, d.Where, d.Order, d.Limit = series(r, r.from), r.after("WHERE"), r.order(), r.limit()
	return d
}
