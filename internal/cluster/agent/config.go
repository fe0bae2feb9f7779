package agent

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/config"
)

// Config is what the operator's file says of the cluster of gateways.
type Config struct {
	Listen         string   // UDP address for datagrams
	Advertise      string   // address by which the other gateways reach this one; Listen if empty
	Seeds          []string // addresses of some gateways that are usually up
	Key            string   // path of the key file
	BytesPerSecond int64    // most bytes a second of health reports that are sent
	ControlSocket  string   // path of the Unix socket that reports the state; empty: none
	HistoryFile    string   // path; empty: none
	ShareHealth    bool     // health reports on engines are exchanged; otherwise membership alone
	ShareCounters  bool
	Quota          *QuotaConfig  // nil: nothing is shared
	Policy         *PolicyConfig // nil: each gateway reads its own file
}

// QuotaConfig is what classes may use over all gateways of the installation.
type QuotaConfig struct {
	Voters    []string      // names of the gateways that confirm who holds which share
	ShareTerm time.Duration // for which a share is held without a message from the voters
	Revision  uint64        // raised with every change of the totals
	Names     []string      // of the budgets: a class and the resource that is shared of it
	Totals    []int64       // by budget, in units of its resource
	SlowStart bool          // the budgets include what engines that have just started may be sent
	Folder    string        // by which the share passes to the next process; empty: only after ShareTerm
}

// PolicyConfig is how the cluster changes its policy.
type PolicyConfig struct {
	Voters          []string      // names of the gateways that decide, at first
	Folder          string        // for the log and the policies; empty: none, as for a gateway that doesn't vote
	LeaseDuration   time.Duration // for which a gateway that hears nothing keeps the policy that it has
	ProposalTimeout time.Duration // for which a proposal waits for gateways that are heard and take no part
}

// validateAddresses checks the addresses and the name that the other gateways know this one by.
func (c *Config) validateAddresses(name string) error {
	if _, err := netip.ParseAddrPort(c.Advertise); err != nil || !membership.ValidNameAndAddress(name, c.Advertise) {
		return fmt.Errorf("fleet.advertise: expected an address and port that the others reach, with a name of up to 40 bytes, found %q", c.Advertise)
	}
	for i, seed := range c.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return fmt.Errorf("fleet.seeds[%d]: expected an address and port, found %q", i, seed)
		}
	}
	return nil
}

// validatePolicy checks that proposals can be made, and that a voter has a folder.
func (c *Config) validatePolicy(name string) error {
	if c.Policy == nil {
		return nil
	}
	if c.ControlSocket == "" {
		return errors.New("fleet.control: expected a socket's path, as policies are proposed there, found nothing")
	}
	if c.Policy.Folder == "" && slices.Contains(c.Policy.Voters, name) {
		return fmt.Errorf("fleet.policy.folder: expected a folder, as %s votes, found nothing", name)
	}
	return nil
}

// validateClasses checks that the deployment's classes and rules allow what is to be shared.
func (q *QuotaConfig) validateClasses(start *config.Config) error {
	if slices.Min(start.Network.LongestWaits) <= 0 {
		return errors.New("fleet.budgets: expected a longest wait (deadlineUs) of every class of the site, as by that a right's use ends, found none of one")
	}
	if q.SlowStart && start.Deployment.WarmUpOverloadTime <= 0 {
		return errors.New("fleet.budgets.cold: expected a site with a rule for engines that have just started (rules.tipAfterUs), found none")
	}
	return nil
}

// ticks converts a duration into the unit of the decisions' clock, a tenth of a millisecond.
func ticks(d time.Duration) admission.Time { return admission.Time(d / (100 * time.Microsecond)) }

// duration converts a span of the decisions' clock.
func duration(t admission.Time) time.Duration { return time.Duration(t) * 100 * time.Microsecond }
