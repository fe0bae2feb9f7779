package configfile

import (
	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
)

// lineFinder knows the lines on which the fields of a file's text stand. What a file computes has the line of the nearest
// thing that is written out.
type lineFinder struct{ root ast.Node }

func newLineFinder(name, text string) *lineFinder {
	root, err := jsonnet.SnippetToAST(name, text)
	if err != nil {
		return &lineFinder{} // it was evaluated before, so that can't be
	}
	return &lineFinder{root}
}

// lineOf is where a path leads, as far as it can be followed.
func (p *lineFinder) lineOf(path []any) int {
	line := 1
	if p.root == nil {
		return line
	}
	names := map[string]ast.Node{}
	node := p.root
	for _, step := range path {
		next, at := followStep(node, step, names, 0)
		if at > 0 {
			line = at
		}
		if next == nil {
			break
		}
		node = next
	}
	return line
}

// followStep takes one step into a node, through what stands round objects in the text.
func followStep(node ast.Node, step any, names map[string]ast.Node, depth int) (ast.Node, int) {
	if depth > maxDepth {
		return nil, 0
	}
	switch n := node.(type) {
	case *ast.Local:
		for _, b := range n.Binds {
			names[string(b.Variable)] = b.Body
		}
		return followStep(n.Body, step, names, depth+1)
	case *ast.Var:
		if body := names[string(n.Id)]; body != nil {
			return followStep(body, step, names, depth+1)
		}
	case *ast.Parens:
		return followStep(n.Inner, step, names, depth+1)
	case *ast.Binary: // a + b: the right one's fields hold
		if next, line := followStep(n.Right, step, names, depth+1); line > 0 {
			return next, line
		}
		return followStep(n.Left, step, names, depth+1)
	case *ast.Array:
		if i, ok := step.(int); ok && i < len(n.Elements) {
			e := n.Elements[i].Expr
			return e, beginLine(e)
		}
	case *ast.DesugaredObject:
		for _, l := range n.Locals {
			names[string(l.Variable)] = l.Body
		}
		for _, f := range n.Fields {
			if name, ok := f.Name.(*ast.LiteralString); ok && name.Value == step {
				line := beginLine(f.Name)
				if f.LocRange.Begin.Line > 0 {
					line = f.LocRange.Begin.Line
				}
				return f.Body, line
			}
		}
	}
	return nil, 0
}

func beginLine(n ast.Node) int {
	if n == nil || n.Loc() == nil {
		return 0
	}
	return n.Loc().Begin.Line
}
