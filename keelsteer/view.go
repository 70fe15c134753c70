package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Room is how much of a service an instance or a failure domain can take.
type Room struct {
	Service keel.ServiceName `json:"service"`
	Slots   int              `json:"slots"`
	Free    int              `json:"free"`
	// QueueDelay is how long a new live request would wait.
	QueueDelay keel.Duration `json:"queue_delay"`
}

// Member is a live instance.
type Member struct {
	Instance keel.Instance `json:"instance"`
	Leaving  bool          `json:"leaving,omitempty"`
	// Suspect says that the instance was not heard lately but is not given up.
	Suspect bool   `json:"suspect,omitempty"`
	Rooms   []Room `json:"rooms,omitempty"`
	// Age is the time since the instance was heard.
	Age keel.Duration `json:"age"`
}

// Domain is what is known of a failure domain.
type Domain struct {
	Name    keel.DomainName `json:"name"`
	Members []Member        `json:"members"`
	Rooms   []Room          `json:"rooms,omitempty"`
	// Age is the time since the domain was heard.
	Age keel.Duration `json:"age"`
}

// View is the state of the system that an engine decides from.
type View struct {
	Domains []Domain `json:"domains"`
	// Stale says that the declarations may be out of date.
	Stale bool `json:"stale"`
}

// domain returns the domain with that name, or nil.
func (v *View) domain(name keel.DomainName) *Domain {
	for i := range v.Domains {
		if v.Domains[i].Name == name {
			return &v.Domains[i]
		}
	}
	return nil
}

// member returns the instance with that name, or nil.
func (d *Domain) member(name keel.InstanceName) *Member {
	for i := range d.Members {
		if d.Members[i].Instance.Name == name {
			return &d.Members[i]
		}
	}
	return nil
}

// Reachable reports whether the domain was heard lately and has a live instance.
func (d *Domain) Reachable() bool {
	return len(d.Members) > 0 && d.Age.Std() < silentAfter
}

func roomOf(rooms []Room, service keel.ServiceName) Room {
	for _, r := range rooms {
		if r.Service == service {
			return r
		}
	}
	return Room{Service: service}
}

// silentAfter is the age at which what is known of a domain no longer counts.
const silentAfter = 5 * time.Second
