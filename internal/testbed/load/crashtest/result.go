// Package crashtest kills a gateway that keeps a journal of its requests, again and again under load, and checks what its
// clients and engines have seen: no non-idempotent request runs twice, each gets one answer, and a client that sends a
// request again gets the same answer.
package crashtest

import (
	"fmt"
	"io"
	"time"
)

// Plan describes a run.
type Plan struct {
	Program       string // the gateway's
	Folder        string
	Kills         int
	LoadClients   int // clients that send non-idempotent requests, one after the other
	LookupClients int // clients that send look-ups
	Seed          int64
	NoJournal     bool // the gateway keeps no journal, so that the checks fail
}

// Result is the outcome of a run.
type Result struct {
	Kills               int           `json:"kills"`
	Requests            int           `json:"tasks"`     // non-idempotent ones
	Served              int           `json:"delivered"` // by their final answers
	Rejected            int           `json:"nacked"`
	Failed              int           `json:"written_off"`
	Retries             int           `json:"asked_again"` // retries of a request whose connection was lost, or that was answered
	RunTwice            []string      `json:"begun_twice"`
	AnsweredDifferently []string      `json:"answered_differently"`
	FalseAnswers        []string      `json:"answers_that_are_not_true"` // served that did not run, rejected that did
	Unanswered          []string      `json:"without_an_answer"`
	LooksP50            time.Duration `json:"look_ups_p50_ns"`
	LoadsP50            time.Duration `json:"loads_p50_ns"`
	Recovery            time.Duration `json:"longest_recovery_ns"` // from a start to the first accepted connection
}

// Good tells whether the rules were kept.
func (r *Result) Good() bool {
	return len(r.RunTwice)+len(r.AnsweredDifferently)+len(r.FalseAnswers)+len(r.Unanswered) == 0 && r.Served > 0
}

// maxListed is how many violations of a rule are listed.
const maxListed = 5

// Text writes a result.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "%d kills, %d tasks that may not run twice, %d asked again: %d delivered, %d nacked, %d written off (real sockets on loopback)\n",
		r.Kills, r.Requests, r.Retries, r.Served, r.Rejected, r.Failed)
	fmt.Fprintf(out, "medians of those answered at the first ask: loads %.1f ms, look-ups %.1f ms; longest from a start to a connection %.0f ms\n",
		float64(r.LoadsP50)/1e6, float64(r.LooksP50)/1e6, float64(r.Recovery)/1e6)
	for _, rule := range []struct {
		name       string
		violations []string
	}{{"run twice", r.RunTwice}, {"answered differently when asked again", r.AnsweredDifferently}, {"answers that are not true", r.FalseAnswers}, {"without an answer", r.Unanswered}} {
		verdict := "good"
		if len(rule.violations) > 0 {
			verdict = "BAD "
		}
		fmt.Fprintf(out, "%s   %d %s\n", verdict, len(rule.violations), rule.name)
		for _, violation := range rule.violations[:min(maxListed, len(rule.violations))] {
			fmt.Fprintln(out, "         "+violation)
		}
	}
}
