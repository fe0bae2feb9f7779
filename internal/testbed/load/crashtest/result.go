// Package crashtest repeatedly kills a gateway that keeps a request journal, under load, and checks the answers of clients
// against what the engines ran: no non-idempotent request runs twice, each gets an answer, and a client that sends a request
// again gets the same answer.
package crashtest

import (
	"fmt"
	"io"
	"time"
)

// Plan describes a run.
type Plan struct {
	Program       string // path of the gateway's program
	Folder        string // for the run's files
	Kills         int
	LoadClients   int // clients that send non-idempotent requests, one after the other
	LookupClients int // clients that send look-ups
	Seed          int64
	NoJournal     bool // the gateway keeps no journal, so the checks must find violations
}

// Result is the outcome of a run.
type Result struct {
	Kills               int           `json:"kills"`
	Requests            int           `json:"tasks"`                     // non-idempotent requests, as in the counts and lists below
	Served              int           `json:"delivered"`                 // requests that were finally served
	Rejected            int           `json:"nacked"`                    // requests that were finally rejected
	Failed              int           `json:"written_off"`               // requests that finally failed
	Retries             int           `json:"asked_again"`               // further attempts, after a lost connection or after the answer
	RunTwice            []string      `json:"begun_twice"`               // started more than once
	AnsweredDifferently []string      `json:"answered_differently"`      // answered differently when sent again
	FalseAnswers        []string      `json:"answers_that_are_not_true"` // unexpected errors; served, but not run once; rejected, but started
	Unanswered          []string      `json:"without_an_answer"`         // not answered within answerTimeout
	LookupsP50          time.Duration `json:"look_ups_p50_ns"`
	LoadsP50            time.Duration `json:"loads_p50_ns"`
	Recovery            time.Duration `json:"longest_recovery_ns"` // longest time from a start to the first accepted connection
}

// Good reports whether at least one request was served and no rule was violated.
func (r *Result) Good() bool {
	return len(r.RunTwice)+len(r.AnsweredDifferently)+len(r.FalseAnswers)+len(r.Unanswered) == 0 && r.Served > 0
}

// maxListed is the number of violations that Text lists for each rule.
const maxListed = 5

// Text writes the result as text.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "%d kills, %d tasks that may not run twice, %d asked again: %d delivered, %d nacked, %d written off (real sockets on loopback)\n",
		r.Kills, r.Requests, r.Retries, r.Served, r.Rejected, r.Failed)
	fmt.Fprintf(out, "medians of those answered at the first ask: loads %.1f ms, look-ups %.1f ms; longest from a start to a connection %.0f ms\n",
		float64(r.LoadsP50)/1e6, float64(r.LookupsP50)/1e6, float64(r.Recovery)/1e6)
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
