package configfile

import (
	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
)

// lineFinder finds the lines of fields in the source text of a file. For a computed field, which is not in the text, it finds
// the line of the nearest enclosing field or list element that is.
type lineFinder struct{ root ast.Node }

func newLineFinder(name, text string) *lineFinder {
	root, err := jsonnet.SnippetToAST(name, text)
	if err != nil { // does not happen for a text that the evaluator accepted
		return &lineFinder{}
	}
	return &lineFinder{root}
}

// lineOf returns the line of the field at a path. If it cannot follow the whole path, it returns the line of the last step
// that it found, or 1.
func (f *lineFinder) lineOf(path []pathStep) int {
	line := 1
	if f.root == nil {
		return line
	}
	w := pathWalker{variables: map[string]ast.Node{}}
	node := f.root
	for _, step := range path {
		next, stepLine := w.follow(node, step, 0)
		if stepLine > 0 {
			line = stepLine
		}
		if next == nil {
			break
		}
		node = next
	}
	return line
}

// pathWalker follows a path through a syntax tree. It collects the values of the variables that it passes.
type pathWalker struct{ variables map[string]ast.Node }

// follow takes one step of a path from a node. It looks for the object or list inside local definitions, variables,
// parentheses and operators. It returns the node of the step and its line, or nil and 0 if there is no such node.
func (w *pathWalker) follow(node ast.Node, step pathStep, depth int) (ast.Node, int) {
	if depth > maxDepth {
		return nil, 0
	}
	switch n := node.(type) {
	case *ast.Local:
		for _, bind := range n.Binds {
			w.variables[string(bind.Variable)] = bind.Body
		}
		return w.follow(n.Body, step, depth+1)
	case *ast.Var:
		if body := w.variables[string(n.Id)]; body != nil {
			return w.follow(body, step, depth+1)
		}
	case *ast.Parens:
		return w.follow(n.Inner, step, depth+1)
	case *ast.Binary: // in a + b, the fields of b replace those of a
		if next, line := w.follow(n.Right, step, depth+1); line > 0 {
			return next, line
		}
		return w.follow(n.Left, step, depth+1)
	case *ast.Array:
		if step.isIndex && step.index < len(n.Elements) {
			element := n.Elements[step.index].Expr
			return element, beginLine(element)
		}
	case *ast.DesugaredObject:
		return w.findField(n, step)
	}
	return nil, 0
}

func (w *pathWalker) findField(object *ast.DesugaredObject, step pathStep) (ast.Node, int) {
	for _, local := range object.Locals {
		w.variables[string(local.Variable)] = local.Body
	}
	for _, field := range object.Fields {
		name, ok := field.Name.(*ast.LiteralString)
		if !ok || step.isIndex || name.Value != step.name {
			continue
		}
		line := beginLine(field.Name)
		if field.LocRange.Begin.Line > 0 {
			line = field.LocRange.Begin.Line
		}
		return field.Body, line
	}
	return nil, 0
}

// beginLine returns the line on which a node begins; 0: unknown.
func beginLine(node ast.Node) int {
	if node == nil || node.Loc() == nil {
		return 0
	}
	return node.Loc().Begin.Line
}
