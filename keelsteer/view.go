package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// ServiceCapacity is the capacity of an instance or a failure domain for a
// service.
type ServiceCapacity struct {
	Service keel.ServiceName `json:"service"`
	Slots   int              `json:"slots"`
	Free    int              `json:"free"`
	// QueueDelay is how long a new request of class live would wait.
	QueueDelay keel.Duration `json:"queue_delay"`
}

// Member is an instance of a failure domain that is not declared dead.
type Member struct {
	Instance keel.Instance `json:"instance"`
	Leaving  bool          `json:"leaving,omitempty"`
	// Suspect is set while no recent heartbeat of the instance has arrived but
	// it is not declared dead yet.
	Suspect    bool              `json:"suspect,omitempty"`
	Capacities []ServiceCapacity `json:"rooms,omitempty"`
	// Age is the time since the last report of the instance.
	Age keel.Duration `json:"age"`
}

// Domain is the last reported state of a failure domain.
type Domain struct {
	Name       keel.DomainName   `json:"name"`
	Members    []Member          `json:"members"`
	Capacities []ServiceCapacity `json:"rooms,omitempty"`
	// Age is the time since the last report of the domain.
	Age keel.Duration `json:"age"`
}

// View is the state of the other instances and failure domains on which an
// engine bases its decisions.
type View struct {
	Domains []Domain `json:"domains"`
	// Stale is set if the declarations may be out of date.
	Stale bool `json:"stale"`
}

// domain returns the domain with the given name, or nil.
func (v *View) domain(name keel.DomainName) *Domain {
	for i := range v.Domains {
		if v.Domains[i].Name == name {
			return &v.Domains[i]
		}
	}
	return nil
}

// member returns the instance with the given name, or nil.
func (d *Domain) member(name keel.InstanceName) *Member {
	for i := range d.Members {
		if d.Members[i].Instance.Name == name {
			return &d.Members[i]
		}
	}
	return nil
}

// Reachable reports whether the domain has an instance and its last report is
// recent.
func (d *Domain) Reachable() bool {
	return len(d.Members) > 0 && d.Age.Std() < maxDomainAge
}

func capacityOf(capacities []ServiceCapacity, service keel.ServiceName) ServiceCapacity {
	for _, c := range capacities {
		if c.Service == service {
			return c
		}
	}
	return ServiceCapacity{Service: service}
}

// maxDomainAge is the age from which the last report of a domain is no longer
// used.
const maxDomainAge = 5 * time.Second
