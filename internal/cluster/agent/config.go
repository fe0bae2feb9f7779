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

// Config holds the settings of the operator's file for the cluster of gateways.
type Config struct {
	Listen         string        // UDP address for datagrams
	Advertise      string        // address at which the other gateways reach this one; Listen if empty
	Seeds          []string      // addresses of some gateways that are usually up
	Key            string        // path of the key file
	BytesPerSecond int64         // limit of the health reports that are sent, in bytes per second
	ControlSocket  string        // path of the Unix socket that serves status and policy requests; empty: none
	HistoryFile    string        // path of the history; empty: none is written
	ShareHealth    bool          // exchange health reports on engines with the other gateways
	ShareCounters  bool          // exchange counts of requests with the other gateways
	Quota          *QuotaConfig  // nil: the gateways share no budgets
	Policy         *PolicyConfig // nil: each gateway applies the policy of its own file
}

// QuotaConfig holds the budgets: what classes may use over all gateways of the installation.
type QuotaConfig struct {
	Voters    []string      // names of the gateways that confirm which gateway holds which share
	ShareTerm time.Duration // how long a gateway holds its share after it sent the last claim that the voters confirmed
	Revision  uint64        // raised with every change of the totals
	Names     []string      // names of the budgets: a class and the resource that the budget limits for it
	Totals    []int64       // by budget, in units of its resource
	SlowStart bool          // there are budgets for the slow start of engines
	Folder    string        // holds the handover file, by which the next process takes over the share at once; empty: only after ShareTerm
}

// PolicyConfig holds the settings by which the cluster changes its policy.
type PolicyConfig struct {
	Voters          []string      // names of the first voters
	Folder          string        // stores the log and the policies; empty: not stored, allowed only if the gateway is no voter
	LeaseDuration   time.Duration // how long a gateway may apply its policy without a message from the leader
	ProposalTimeout time.Duration // how long a proposal waits for gateways that send messages but neither accept nor reject it
}

// validateAddresses checks the gateway's name, the address at which the other gateways reach it, and the seeds.
func (c *Config) validateAddresses(name string) error {
	if _, err := netip.ParseAddrPort(c.Advertise); err != nil || !membership.ValidNameAndAddress(name, c.Advertise) {
		return fmt.Errorf("fleet.advertise: expected an address and port that the other gateways can reach, and a gateway name of up to 40 bytes, found %q", c.Advertise)
	}
	for i, seed := range c.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return fmt.Errorf("fleet.seeds[%d]: expected an address and port, found %q", i, seed)
		}
	}
	return nil
}

// validatePolicy checks that there is a control socket for proposals, and that a voter has a folder.
func (c *Config) validatePolicy(name string) error {
	if c.Policy == nil {
		return nil
	}
	if c.ControlSocket == "" {
		return errors.New("fleet.control: expected the path of a socket, because policies are proposed there, found nothing")
	}
	if c.Policy.Folder == "" && slices.Contains(c.Policy.Voters, name) {
		return fmt.Errorf("fleet.policy.folder: expected a folder, because %s is a voter, found nothing", name)
	}
	return nil
}

// validateClasses checks that the deployment has the settings that budgets need: a longest wait for every class and, for slow
// start, a rule for engines that have just started.
func (q *QuotaConfig) validateClasses(startConfig *config.Config) error {
	if slices.Min(startConfig.Network.LongestWaits) <= 0 {
		return errors.New("fleet.budgets: expected a longest wait (deadlineUs) for every class of the site, because it limits how long a unit is used, found a class without one")
	}
	if q.SlowStart && startConfig.Deployment.WarmUpOverloadTime <= 0 {
		return errors.New("fleet.budgets.cold: expected the site to have a rule for engines that have just started (rules.tipAfterUs), found none")
	}
	return nil
}

// ticks converts a duration to the unit of admission.Time, a tenth of a millisecond.
func ticks(d time.Duration) admission.Time { return admission.Time(d / (100 * time.Microsecond)) }

// duration converts a time span from the unit of admission.Time.
func duration(t admission.Time) time.Duration { return time.Duration(t) * 100 * time.Microsecond }
