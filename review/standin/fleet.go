//go:build review

package standin

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Fleet is what the gateways' operator's files have in common.
type Fleet struct {
	Voters []string
	Lease  string

	d     *Deployment
	key   string
	seeds []string
}

// JoinFleet gives the deployment's gateways what they need to be a fleet with policies. The seeds are the voters' addresses.
func (d *Deployment) JoinFleet(f *Fleet) []*Gateway {
	f.d = d
	f.key = filepath.Join(d.c.Folder, "fleet.key")
	if err := os.WriteFile(f.key, []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		d.c.Fatal("%v", err)
	}
	var gateways []*Gateway
	var addresses []string
	for me := range d.Gateways {
		address, err := FreeAddress()
		if err != nil {
			d.c.Fatal("%v", err)
		}
		addresses = append(addresses, address)
		gateways = append(gateways, d.NewGateway(me, ""))
	}
	f.seeds = addresses[:len(f.Voters)]
	for i, g := range gateways {
		f.join(g, addresses[i])
	}
	return gateways
}

func (f *Fleet) join(g *Gateway, address string) {
	g.Control = filepath.Join(f.d.c.Folder, g.Name+".sock")
	g.arguments = "--operator " + f.writeFile(g, address)
}

func (f *Fleet) writeFile(g *Gateway, address string) string {
	folder := filepath.Join(f.d.c.Folder, g.Name)
	fleet := map[string]any{"listen": address, "seeds": f.seeds, "key": f.key, "control": g.Control,
		"policy": map[string]any{"voters": f.Voters, "folder": folder + "-policy", "lease": f.Lease, "within": "5s"}}
	text, err := json.MarshalIndent(map[string]any{"fleet": fleet, "statements": map[string]any{}}, "", " ")
	if err != nil {
		f.d.c.Fatal("%v", err)
	}
	path := filepath.Join(f.d.c.Folder, g.Name+".jsonnet")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.d.c.Fatal("%v", err)
	}
	return path
}

// Policy runs "magpiebank policy" at a gateway and returns what it printed.
func (g *Gateway) Policy(arguments ...string) (output string, err error) {
	c := g.d.c
	command := exec.Command("bin/magpiebank", append(append([]string{"policy"}, arguments...), "--control", g.Control)...)
	command.Dir = c.Root
	out, err := command.CombinedOutput()
	c.Log("policy %s at %s: %s (error: %v)", strings.Join(arguments, " "), g.Name, strings.TrimSpace(string(out)), err)
	return string(out), err
}
