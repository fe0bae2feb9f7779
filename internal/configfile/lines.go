package configfile

import (
	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
)

// places knows the lines on which the fields of a file's text stand. What a file computes has the line of the nearest
// thing that is written out.
type places struct{ root ast.Node }

func find(name, text string) *places {
	root, err := jsonnet.SnippetToAST(name, text)
	if err != nil {
		return &places{} // it was evaluated before, so that can't be
	}
	return &places{root}
}

// line is where a path leads, as far as it can be followed.
func (p *places) line(path []any) int {
	line := 1
	if p.root == nil {
		return line
	}
	names := map[string]ast.Node{}
	node := p.root
	for _, step := range path {
		next, at := follow(node, step, names, 0)
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

// follow takes one step into a node, through what stands round objects in the text.
func follow(node ast.Node, step any, names map[string]ast.Node, depth int) (ast.Node, int) {
	if depth > mostDepth {
		return nil, 0
	}
	switch n := node.(type) {
	case *ast.Local:
		for _, b := range n.Binds {
			names[string(b.Variable)] = b.Body
		}
		return follow(n.Body, step, names, depth+1)
	case *ast.Var:
		if body := names[string(n.Id)]; body != nil {
			return follow(body, step, names, depth+1)
		}
	case *ast.Parens:
		return follow(n.Inner, step, names, depth+1)
	case *ast.Binary: // a + b: the right one's fields hold
		if next, line := follow(n.Right, step, names, depth+1); line > 0 {
			return next, line
		}
		return follow(n.Left, step, names, depth+1)
	case *ast.Array:
		if i, ok := step.(int); ok && i < len(n.Elements) {
			e := n.Elements[i].Expr
			return e, begin(e)
		}
	case *ast.DesugaredObject:
		for _, l := range n.Locals {
			names[string(l.Variable)] = l.Body
		}
		for _, f := range n.Fields {
			if name, ok := f.Name.(*ast.LiteralString); ok && name.Value == step {
				line := begin(f.Name)
				if f.LocRange.Begin.Line > 0 {
					line = f.LocRange.Begin.Line
				}
				return f.Body, line
			}
		}
	}
	return nil, 0
}

func begin(n ast.Node) int {
	if n == nil || n.Loc() == nil {
		return 0
	}
	return n.Loc().Begin.Line
}
