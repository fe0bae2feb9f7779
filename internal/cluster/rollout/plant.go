package rollout

import "strings"

// Plant plants defects by their names, to see that the checkers find them. Only the laboratory calls it.
func (p *Plan) Plant(names string) {
	for d, name := range [...]string{switchesOnWord: "switches-on-word", noDrift: "lease-without-drift", believesFolder: "believes-folder", noWait: "leader-without-wait",
		grantsUnasked: "grants-unasked", keepsOnYield: "keeps-on-yield", bothForever: "both-forever", fromAnswer: "lease-from-answer"} {
		if name != "" && strings.Contains(names, name) {
			p.planted = defect(d)
		}
	}
}
