package costmodel

import (
	"magpiebank/internal/query/sqltext"
	"strings"
)

// readTokens reads what can be read from tokens alone.
func (f *Features) readTokens(sql []byte) {
	l := sqltext.Lexer{Text: sql}
	place, from, where := false, false, false
	first := true
	var column []string // the last name, with what it is qualified by
	var before sqltext.Token
	for t := l.Next(); t.Kind != sqltext.End; t = l.Next() {
		text := l.Bytes(t)
		switch {
		case t.Kind == sqltext.Sign && t.Sign == ',' && from:
			place = true
		case t.Kind == sqltext.Sign && (t.Sign == '=' || t.Sign == '<' || t.Sign == '>') && where && before.Kind != sqltext.Sign && column != nil:
			m := Range
			if next := l.Peek(); t.Sign == '=' {
				if m = Equal; next.Kind == sqltext.Word || next.Kind == sqltext.Quoted {
					m = Joined
				}
			} else if next.Sign == '>' {
				m = Unequal
			}
			f.addPredicate(column, m, 0)
			column = nil
		case t.Kind == sqltext.Word || t.Kind == sqltext.Quoted:
			names := []string{string(text)}
			for l.Peek().Sign == '.' {
				l.Next()
				if next := l.Peek(); next.Kind != sqltext.Word && next.Kind != sqltext.Quoted {
					break
				}
				names = append(names, string(l.Bytes(l.Next())))
			}
			upper := ""
			if t.Kind == sqltext.Word && len(names) == 1 {
				upper = strings.ToUpper(names[0])
			}
			if first {
				first = false
				switch upper {
				case "SELECT", "WITH":
					f.Verb = Select
				case "INSERT", "REPLACE":
					f.Verb = Insert
				case "LOAD":
					f.Verb = Load
				case "UPDATE":
					f.Verb = Update
				case "DELETE":
					f.Verb = Delete
				}
			}
			switch upper {
			case "FROM", "JOIN":
				place, from, where = true, true, false
				if upper == "JOIN" {
					f.Joins++
				}
			case "INTO", "UPDATE", "TABLE":
				place = true
			case "WHERE", "ON", "HAVING":
				place, from, where = false, false, true
			case "SELECT":
				if f.Verb == Insert {
					f.Verb = InsertSelect
				} else if len(f.Tables) > 0 {
					f.Subqueries++
				}
				place, from, where = false, false, false
			case "GROUP":
				f.Groups++
				where = false
			case "ORDER":
				f.Sorts++
				where = false
			case "UNION":
				f.Unions++
			case "OVER":
				f.Windows++
			case "DISTINCT":
				f.Distinct = true
			case "IN", "LIKE", "BETWEEN":
				if where && column != nil {
					f.addPredicate(column, map[string]Match{"IN": Equal, "LIKE": Prefix, "BETWEEN": Range}[upper], 0)
					column = nil
				}
			case "LIMIT":
				if next := l.Peek(); next.Kind == sqltext.Number {
					f.setLimit([]string{string(l.Bytes(next))})
				}
			default:
				if place && keywords[upper] == "" {
					f.addTable(names, "", f.Verb == Insert || f.Verb == Load)
					place = false
				} else if isAggregate(names[len(names)-1]) && l.Peek().Sign == '(' {
					f.Aggregates++
				} else if keywords[upper] == "" {
					column = names
				}
			}
		}
		before = t
	}
}
