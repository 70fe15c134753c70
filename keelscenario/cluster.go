package keelscenario

import "slices"

// member is one instance of a predefined cluster.
type member struct {
	name, domain, region string
	voter                bool
}

// clusters holds the predefined clusters by name. The embedded declarations
// contain their regions and failure domains.
var clusters = map[string][]member{
	// One failure domain with one voter.
	"domain": {
		{"a1", "dakar-a", "dakar", true},
		{"a2", "dakar-a", "dakar", false},
		{"a3", "dakar-a", "dakar", false},
	},
	// Three failure domains in two regions, with a voter in each.
	"regions": {
		{"a1", "dakar-a", "dakar", true},
		{"b1", "dakar-b", "dakar", true},
		{"t1", "thies-a", "thies", true},
		{"a2", "dakar-a", "dakar", false},
		{"a3", "dakar-a", "dakar", false},
	},
}

// cmdCluster starts a predefined cluster, applies the embedded declarations, and
// waits until they are in force at all its instances.
func cmdCluster(c *cluster, args []string) {
	members, ok := clusters[args[0]]
	if !ok {
		c.fatalf("cluster %q does not exist", args[0])
	}
	var names []string
	for _, m := range members {
		declared := []string{m.name, m.domain, m.region}
		if m.voter {
			declared = append(declared, "voter")
		}
		cmdInstance(c, declared)
		names = append(names, m.name)
	}
	cmdStart(c, names)
	voters := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !c.instance(n).voter })
	for _, name := range voters {
		cmdUntil(c, []string{name, "quorum.leader", "!=", "null"})
	}
	// Declarations are applied only after every instance has confirmed that its
	// version is the latest one. Otherwise a claim holder could not rule out that
	// its failure domain was declared before and that it lost claims.
	for _, name := range names {
		cmdUntil(c, []string{name, "current.known", "==", "true"})
	}
	c.check(c.ts.Exec(ProgramName, "apply", "--operator", c.instance(names[0]).listen.Operator.String(), "--declarations", "declarations", "--wait"))
	for _, name := range names {
		cmdUntil(c, []string{name, "version", ">=", "1"})
	}
}

// cmdLeader waits until a voter holds a valid leader lease. It sets $leader to
// that voter and $follower to another, and $leader_operator and
// $follower_operator to the addresses of their operator ports.
func cmdLeader(c *cluster, _ []string) {
	c.until("leader", func() (bool, string) {
		var leader, follower string
		for _, in := range c.running() {
			if !in.voter {
				continue
			}
			doc, err := c.client(in).Dump(c.ctx)
			c.check(err)
			if leads, _, err := (condition{"quorum.lease_valid", "==", "true"}).holds(doc); err == nil && leads {
				leader = in.name
			} else {
				follower = in.name
			}
		}
		if leader == "" || follower == "" {
			return false, "leader " + leader
		}
		c.ts.Setenv("leader", leader)
		c.ts.Setenv("leader_operator", c.instance(leader).listen.Operator.String())
		c.ts.Setenv("follower", follower)
		c.ts.Setenv("follower_operator", c.instance(follower).listen.Operator.String())
		return true, ""
	})
}
