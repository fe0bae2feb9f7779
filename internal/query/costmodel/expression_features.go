package costmodel

import "strings"

// readWhere splits a condition at AND; what stands under OR or NOT holds for no row by itself, so it is only looked into.
func (f *Features) readWhere(e *expression, first int) {
	if e == nil {
		return
	}
	for _, p := range e.Rest {
		if containsFold(p.Op, "OR") || containsFold(p.Op, "XOR") || containsFold(p.Op, "|") {
			f.readExpression(e)
			return
		}
	}
	part := []*operation{{Value: e.First}}
	between := false
	for _, p := range e.Rest {
		if len(p.Op) > 0 && p.Op[0] == "AND" && !between {
			f.readCondition(part, first)
			part = []*operation{{Op: p.Op[1:], Value: p.Value}}
			continue
		}
		between = containsFold(p.Op, "BETWEEN") // whose AND is its own
		part = append(part, p)
	}
	f.readCondition(part, first)
}

// readCondition reads terms and operators between two ANDs.
func (f *Features) readCondition(part []*operation, first int) {
	for _, p := range part {
		f.readOperand(p.Value)
	}
	left := part[0].Value
	if len(part[0].Op) > 0 || containsFold(left.Prefix, "NOT") {
		return
	}
	if len(part) == 1 {
		if len(left.List) == 1 { // (a = 1 AND b = 2)
			f.readWhere(left.List[0], first)
		}
		return
	}
	op := strings.Join(part[1].Op, "")
	right := part[1].Value
	column := func(v *operand) bool { return len(v.Name) > 0 && v.Call == nil && len(v.Prefix) == 0 }
	fixed := func(v *operand) bool { return v.Literal != "" || v.Interval != nil || len(v.Name) > 0 && v.Call != nil }
	not := strings.HasPrefix(op, "NOT")
	if not {
		op = op[3:]
	}
	if !column(left) {
		switch {
		case column(right) && len(part) == 2 && fixed(left) && left.Call == nil: // 5 = a
			left, right = right, left
		case left.Call != nil && len(left.Call.Args) > 0: // f(a) = 5
			if arg := left.Call.Args[0].Value; arg != nil && column(arg.First) {
				f.addPredicate(arg.First.Name, Function, first)
			}
			return
		case column(right): // a joined to something computed
			f.addPredicate(right.Name, Function, first)
			return
		default:
			return
		}
	}
	m := Unequal
	switch {
	case not, op == "<>", op == "!=":
	case len(part) > 2 && op != "BETWEEN" && isArithmetic(op): // a + 1 = 5
		m = Function
	case op == "=" || op == "<=>":
		if m = Equal; column(right) {
			f.addPredicate(right.Name, Joined, first)
			m = Joined
		} else if right.Query != nil {
			m = Joined
		}
	case op == "IN":
		if m = Equal; right.Query != nil {
			m = Joined
		}
	case op == "IS":
		m = Equal
	case op == "BETWEEN", op == "<", op == ">", op == "<=", op == ">=":
		m = Range
	case op == "LIKE":
		if m = Prefix; len(right.Literal) < 2 || right.Literal[1] == '%' || right.Literal[1] == '_' {
			m = Wildcard
		}
	case op == "REGEXP", op == "RLIKE":
		m = Wildcard
	case isArithmetic(op):
		m = Function
	}
	f.addPredicate(left.Name, m, first)
}

func isArithmetic(op string) bool {
	return strings.ContainsAny(op, "+-*/%&^") || op == "DIV" || op == "MOD"
}

func (f *Features) readExpression(e *expression) {
	if e == nil {
		return
	}
	f.readOperand(e.First)
	for _, p := range e.Rest {
		f.readOperand(p.Value)
	}
}

func (f *Features) readOperand(v *operand) {
	switch {
	case v == nil:
	case v.Query != nil:
		f.Subqueries++
		f.readQuery(v.Query)
	case v.Case != nil:
		f.readExpression(v.Case.Of)
		for _, w := range v.Case.When {
			f.readExpression(w.If)
			f.readExpression(w.Then)
		}
		f.readExpression(v.Case.Else)
	case v.Interval != nil:
		f.readExpression(v.Interval.Value)
	}
	if v == nil {
		return
	}
	for _, e := range v.List {
		f.readExpression(e)
	}
	if v.Call != nil {
		if v.Call.Over != nil || v.Call.Named != "" {
			f.Windows++
		} else if isAggregate(v.Name[len(v.Name)-1]) {
			f.Aggregates++
		}
		for _, a := range v.Call.Args {
			f.readExpression(a.Value)
		}
	}
}

var aggregates = map[string]bool{"COUNT": true, "SUM": true, "AVG": true, "MIN": true, "MAX": true, "GROUP_CONCAT": true, "STD": true,
	"STDDEV": true, "VARIANCE": true, "BIT_OR": true, "BIT_AND": true, "JSON_ARRAYAGG": true, "ANY_VALUE": true}

func isAggregate(name string) bool { return aggregates[strings.ToUpper(name)] }
