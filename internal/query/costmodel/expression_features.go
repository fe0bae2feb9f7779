package costmodel

import "strings"

// readWhere reads the predicates of a condition, which are its operands between ANDs. In a condition with OR, no
// operand needs to hold for all rows, so only the subqueries and functions are read. firstTable is the index of the
// first table of the query that the condition belongs to.
func (f *Features) readWhere(e *expression, firstTable int) {
	if e == nil {
		return
	}
	for _, op := range e.Rest {
		if containsFold(op.Op, "OR") || containsFold(op.Op, "XOR") || containsFold(op.Op, "|") {
			f.readExpression(e)
			return
		}
	}
	condition := []*operation{{Value: e.First}}
	inBetween := false // the next AND belongs to a BETWEEN
	for _, op := range e.Rest {
		if len(op.Op) > 0 && op.Op[0] == "AND" && !inBetween {
			f.readCondition(condition, firstTable)
			condition = []*operation{{Op: op.Op[1:], Value: op.Value}}
			continue
		}
		inBetween = containsFold(op.Op, "BETWEEN")
		condition = append(condition, op)
	}
	f.readCondition(condition, firstTable)
}

// comparison is a condition with an operator, such as a = 5.
type comparison struct {
	left, right *operand
	operator    string // without NOT
	negated     bool
	operands    int // number of operands
}

// readCondition reads one condition, which consists of operands and the operators between them.
func (f *Features) readCondition(condition []*operation, firstTable int) {
	for _, op := range condition {
		f.readOperand(op.Value)
	}
	left := condition[0].Value
	if len(condition[0].Op) > 0 || containsFold(left.Prefix, "NOT") {
		return
	}
	if len(condition) == 1 {
		if len(left.List) == 1 { // (a = 1 AND b = 2)
			f.readWhere(left.List[0], firstTable)
		}
		return
	}
	operator, negated := strings.CutPrefix(strings.Join(condition[1].Op, ""), "NOT")
	c := comparison{left: left, right: condition[1].Value, operator: operator, negated: negated, operands: len(condition)}
	if !c.left.isColumn() && !f.moveColumnLeft(&c, firstTable) {
		return
	}
	match := c.match()
	if match == Joined && c.right.isColumn() {
		f.addPredicate(c.right.Name, Joined, firstTable)
	}
	f.addPredicate(c.left.Name, match, firstTable)
}

// moveColumnLeft swaps the sides of a comparison such as 5 = a, so that the column is on the left, and returns true. It
// returns false if the sides can't be swapped. In that case it has added a predicate for a column that a function is
// applied to, or that is compared to a computed value.
func (f *Features) moveColumnLeft(c *comparison, firstTable int) bool {
	call := c.left.Call
	switch {
	case c.right.isColumn() && c.operands == 2 && c.left.isConstant() && call == nil: // 5 = a
		c.left, c.right = c.right, c.left
		return true
	case call != nil && len(call.Args) > 0: // f(a) = 5
		if argument := call.Args[0].Value; argument != nil && argument.First.isColumn() {
			f.addPredicate(argument.First.Name, Function, firstTable)
		}
	case c.right.isColumn(): // 5 + b = a
		f.addPredicate(c.right.Name, Function, firstTable)
	}
	return false
}

// match returns how the comparison narrows the column on its left side.
func (c *comparison) match() Match {
	toSubquery := c.right.Query != nil
	switch {
	case c.negated, c.operator == "<>", c.operator == "!=":
		return Unequal
	case c.operands > 2 && c.operator != "BETWEEN" && isArithmetic(c.operator): // a + 1 = 5
		return Function
	}
	switch c.operator {
	case "=", "<=>":
		if toSubquery || c.right.isColumn() {
			return Joined
		}
		return Equal
	case "IN":
		if toSubquery {
			return Joined
		}
		return Equal
	case "IS":
		return Equal
	case "BETWEEN", "<", ">", "<=", ">=":
		return Range
	case "LIKE":
		if literal := c.right.Literal; len(literal) < 2 || literal[1] == '%' || literal[1] == '_' { // literal[0] is the quote
			return Wildcard
		}
		return Prefix
	case "REGEXP", "RLIKE":
		return Wildcard
	}
	if isArithmetic(c.operator) {
		return Function
	}
	return Unequal
}

func isArithmetic(operator string) bool {
	return strings.ContainsAny(operator, "+-*/%&^") || operator == "DIV" || operator == "MOD"
}

// isColumn reports whether an operand is the name of a column and nothing else.
func (o *operand) isColumn() bool { return len(o.Name) > 0 && o.Call == nil && len(o.Prefix) == 0 }

// isConstant reports whether an operand contains no column. All function calls count as constant; their arguments are
// not checked.
func (o *operand) isConstant() bool {
	return o.Literal != "" || o.Interval != nil || len(o.Name) > 0 && o.Call != nil
}

// readExpression counts the subqueries and functions of an expression.
func (f *Features) readExpression(e *expression) {
	if e == nil {
		return
	}
	f.readOperand(e.First)
	for _, op := range e.Rest {
		f.readOperand(op.Value)
	}
}

func (f *Features) readOperand(o *operand) {
	if o == nil {
		return
	}
	switch {
	case o.Query != nil:
		f.Subqueries++
		f.readQuery(o.Query)
	case o.Case != nil:
		f.readExpression(o.Case.Of)
		for _, branch := range o.Case.When {
			f.readExpression(branch.If)
			f.readExpression(branch.Then)
		}
		f.readExpression(o.Case.Else)
	case o.Interval != nil:
		f.readExpression(o.Interval.Value)
	}
	for _, e := range o.List {
		f.readExpression(e)
	}
	if o.Call == nil {
		return
	}
	if o.Call.Over != nil || o.Call.Named != "" {
		f.Windows++
	} else if isAggregate(o.Name[len(o.Name)-1]) {
		f.Aggregates++
	}
	for _, argument := range o.Call.Args {
		f.readExpression(argument.Value)
	}
}

// aggregates is the set of functions that aggregate rows.
var aggregates = map[string]bool{"COUNT": true, "SUM": true, "AVG": true, "MIN": true, "MAX": true, "GROUP_CONCAT": true, "STD": true,
	"STDDEV": true, "VARIANCE": true, "BIT_OR": true, "BIT_AND": true, "JSON_ARRAYAGG": true, "ANY_VALUE": true}

func isAggregate(name string) bool { return aggregates[strings.ToUpper(name)] }
