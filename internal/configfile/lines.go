package configfile

import (
	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
)

// lineFinder finds the lines on which the fields of a file stand. A field that the file computes has the line of the
// nearest thing that is written out.
type lineFinder struct{ root ast.Node }

func newLineFinder(name, text string) *lineFinder {
	root, err := jsonnet.SnippetToAST(name, text)
	if err != nil { // not for a text that was evaluated
		return &lineFinder{}
	}
	return &lineFinder{root}
}

// lineOf returns the line that a path leads to, as far as it can be followed.
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

// pathWalker follows a path through a syntax tree, and knows the variables that are in scope.
type pathWalker struct{ variables map[string]ast.Node }

// follow follows one step from a node, through what stands round objects in the text. It returns the node that the step
// leads to, nil if it leads nowhere, and its line.
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
	case *ast.Binary: // of a + b, the fields of b replace those of a
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

// beginLine returns the line on which a node begins, 0 if that is not known.
func beginLine(node ast.Node) int {
	if node == nil || node.Loc() == nil {
		return 0
	}
	return node.Loc().Begin.Line
}
