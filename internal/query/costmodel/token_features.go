package costmodel

import (
	"strings"

	"magpiebank/internal/query/sqltext"
)

// tokenReader reads features from the tokens of a statement that the parser rejects.
type tokenReader struct {
	features *Features
	lexer    sqltext.Lexer
	previous sqltext.Token

	started     bool // the first word has been read
	expectTable bool // the next name may be that of a table
	inTableList bool // the name after a comma may be that of a table
	inCondition bool
	column      []string // the last name with its qualifiers, to which the next operator may apply; nil: none
}

// readTokens reads the features that can be read from the tokens alone.
func (f *Features) readTokens(sql []byte) {
	r := tokenReader{features: f, lexer: sqltext.Lexer{Text: sql}}
	for token := r.lexer.Next(); token.Kind != sqltext.End; token = r.lexer.Next() {
		switch {
		case token.Kind == sqltext.Sign && token.Sign == ',' && r.inTableList:
			r.expectTable = true
		case r.isComparison(token):
			r.readComparison(token)
		case token.Kind == sqltext.Word || token.Kind == sqltext.Quoted:
			r.readWord(token)
		}
		r.previous = token
	}
}

// isComparison reports whether a token is the first sign of an operator that compares a column.
func (r *tokenReader) isComparison(token sqltext.Token) bool {
	if token.Kind != sqltext.Sign || token.Sign != '=' && token.Sign != '<' && token.Sign != '>' {
		return false
	}
	return r.inCondition && r.previous.Kind != sqltext.Sign && r.column != nil
}

func (r *tokenReader) readComparison(token sqltext.Token) {
	next := r.lexer.Peek()
	match := Range
	switch {
	case token.Sign == '=' && (next.Kind == sqltext.Word || next.Kind == sqltext.Quoted):
		match = Joined
	case token.Sign == '=':
		match = Equal
	case next.Sign == '>':
		match = Unequal
	}
	r.addPredicate(match)
}

func (r *tokenReader) addPredicate(match Match) {
	r.features.addPredicate(r.column, match, 0)
	r.column = nil
}

// readWord reads a keyword, or a name with its qualifiers.
func (r *tokenReader) readWord(token sqltext.Token) {
	names := []string{string(r.lexer.Bytes(token))}
	for r.lexer.Peek().Sign == '.' {
		r.lexer.Next()
		if next := r.lexer.Peek(); next.Kind != sqltext.Word && next.Kind != sqltext.Quoted {
			break
		}
		names = append(names, string(r.lexer.Bytes(r.lexer.Next())))
	}
	keyword := ""
	if token.Kind == sqltext.Word && len(names) == 1 {
		keyword = strings.ToUpper(names[0])
	}
	if !r.started {
		r.started = true
		r.features.Verb = firstVerbs[keyword]
	}
	if !r.readClause(keyword) && !r.readOtherKeyword(keyword) {
		r.readName(names, keyword)
	}
}

// firstVerbs maps the first word of a statement to its verb. A statement with any other first word has the verb
// Other.
var firstVerbs = map[string]Verb{"SELECT": Select, "WITH": Select, "INSERT": Insert, "REPLACE": Insert, "LOAD": Load,
	"UPDATE": Update, "DELETE": Delete}

// readClause reads a keyword that begins a clause, and reports whether the keyword does.
func (r *tokenReader) readClause(keyword string) bool {
	f := r.features
	switch keyword {
	case "JOIN":
		f.Joins++
		r.expectTable, r.inTableList, r.inCondition = true, true, false
	case "FROM":
		r.expectTable, r.inTableList, r.inCondition = true, true, false
	case "INTO", "UPDATE", "TABLE":
		r.expectTable = true
	case "WHERE", "ON", "HAVING":
		r.expectTable, r.inTableList, r.inCondition = false, false, true
	case "SELECT":
		if f.Verb == Insert {
			f.Verb = InsertSelect
		} else if len(f.Tables) > 0 {
			f.Subqueries++
		}
		r.expectTable, r.inTableList, r.inCondition = false, false, false
	case "GROUP":
		f.Groups++
		r.inCondition = false
	case "ORDER":
		f.Sorts++
		r.inCondition = false
	default:
		return false
	}
	return true
}

// wordMatches maps the operators that are words to the kinds of their predicates.
var wordMatches = map[string]Match{"IN": Equal, "LIKE": Prefix, "BETWEEN": Range}

// readOtherKeyword reads a keyword that does not begin a clause but changes a feature, and reports whether the keyword is
// one.
func (r *tokenReader) readOtherKeyword(keyword string) bool {
	f := r.features
	switch keyword {
	case "UNION":
		f.Unions++
	case "OVER":
		f.Windows++
	case "DISTINCT":
		f.Distinct = true
	case "IN", "LIKE", "BETWEEN":
		if r.inCondition && r.column != nil {
			r.addPredicate(wordMatches[keyword])
		}
	case "LIMIT":
		if next := r.lexer.Peek(); next.Kind == sqltext.Number {
			f.setLimit([]string{string(r.lexer.Bytes(next))})
		}
	default:
		return false
	}
	return true
}

// readName reads a name of a table, a function or a column. It ignores keywords.
func (r *tokenReader) readName(names []string, keyword string) {
	f := r.features
	isKeyword := keywords[keyword] != ""
	switch {
	case r.expectTable && !isKeyword:
		f.addTable(names, "", f.Verb == Insert || f.Verb == Load)
		r.expectTable = false
	case isAggregate(names[len(names)-1]) && r.lexer.Peek().Sign == '(':
		f.Aggregates++
	case !isKeyword:
		r.column = names
	}
}
