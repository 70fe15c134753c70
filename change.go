package keel

import "time"

// Version counts the changes of the declarations. The declarations before the
// first change have version 0.
type Version uint64

// OpAction is what an operation does with a declared object.
type OpAction string

// Actions of operations.
const (
	OpPut    OpAction = "put"
	OpDelete OpAction = "delete"
)

// Kind is the kind of a declared object.
type Kind string

// Kinds of declared objects.
const (
	KindRegion   Kind = "region"
	KindDomain   Kind = "domain"
	KindSite     Kind = "site"
	KindLink     Kind = "link"
	KindService  Kind = "service"
	KindSelector Kind = "selector"
	KindLabel    Kind = "label"
	KindBlock    Kind = "block"
	KindInstance Kind = "instance"
)

// Op puts or deletes one declared object. A put carries the object in the field
// of its kind; a delete carries only the name. The name of a block is its
// prefix, that of a link is "from/to".
type Op struct {
	Action   OpAction            `json:"action" cbor:"1,keyasint"`
	Kind     Kind                `json:"kind" cbor:"2,keyasint"`
	Name     string              `json:"name" cbor:"3,keyasint"`
	Region   *Region             `json:"region,omitempty" cbor:"4,keyasint,omitempty"`
	Domain   *FailureDomain      `json:"domain,omitempty" cbor:"5,keyasint,omitempty"`
	Site     *Site               `json:"site,omitempty" cbor:"6,keyasint,omitempty"`
	Link     *Link               `json:"link,omitempty" cbor:"7,keyasint,omitempty"`
	Service  *Service            `json:"service,omitempty" cbor:"8,keyasint,omitempty"`
	Selector *Selector           `json:"selector,omitempty" cbor:"9,keyasint,omitempty"`
	Label    *LabelRule          `json:"label,omitempty" cbor:"10,keyasint,omitempty"`
	Block    *ClientBlock        `json:"block,omitempty" cbor:"11,keyasint,omitempty"`
	Instance *RegisteredInstance `json:"instance,omitempty" cbor:"12,keyasint,omitempty"`
}

// Change is a set of operations that an operator submits against one version of
// the declarations. They are applied together or not at all.
type Change struct {
	ID     ChangeID `json:"id" cbor:"1,keyasint"`
	Base   Version  `json:"base" cbor:"2,keyasint"`
	Author string   `json:"author" cbor:"3,keyasint"`
	// Time is when the change was made, according to its author.
	Time time.Time `json:"time" cbor:"4,keyasint"`
	Ops  []Op      `json:"ops" cbor:"5,keyasint"`
}

// maxChangeOps is the highest number of operations in one change.
const maxChangeOps = 100_000

// Check reports the faults of the change itself, not those of the declarations
// that would result from it.
func (c *Change) Check() Faults {
	fs := CheckName("id", c.ID)
	if c.Author == "" {
		fs.Add("author", "must not be empty")
	}
	if len(c.Ops) == 0 || len(c.Ops) > maxChangeOps {
		fs.Add("ops", "has %d operations, must have 1 to %d", len(c.Ops), maxChangeOps)
	}
	for i := range c.Ops {
		fs.Under(elementPath("ops", i, ""), c.Ops[i].Check())
	}
	return fs
}

// Check reports an operation whose action, kind, name and value are not
// consistent.
func (o *Op) Check() Faults {
	var fs Faults
	if o.Name == "" {
		fs.Add("name", "must not be empty")
	}
	switch o.Action {
	case OpDelete:
		return fs
	case OpPut:
	default:
		fs.Add("action", "is %q, must be %q or %q", o.Action, OpPut, OpDelete)
		return fs
	}
	name, ok := o.valueName()
	switch {
	case !ok:
		fs.Add(string(o.Kind), "must be given, since the operation puts a %q", o.Kind)
	case name != o.Name:
		fs.Add("name", "is %q, but the value's name is %q", o.Name, name)
	}
	return fs
}

// valueName returns the name of the object in the field of the operation's kind,
// and whether that field is set.
func (o *Op) valueName() (string, bool) {
	switch {
	case o.Kind == KindRegion && o.Region != nil:
		return string(o.Region.Name), true
	case o.Kind == KindDomain && o.Domain != nil:
		return string(o.Domain.Name), true
	case o.Kind == KindSite && o.Site != nil:
		return string(o.Site.Name), true
	case o.Kind == KindLink && o.Link != nil:
		return o.Link.Name(), true
	case o.Kind == KindService && o.Service != nil:
		return string(o.Service.Name), true
	case o.Kind == KindSelector && o.Selector != nil:
		return string(o.Selector.Name), true
	case o.Kind == KindLabel && o.Label != nil:
		return o.Label.Name, true
	case o.Kind == KindBlock && o.Block != nil:
		return o.Block.Prefix.String(), true
	case o.Kind == KindInstance && o.Instance != nil:
		return string(o.Instance.Name), true
	default:
		return "", false
	}
}

// OutcomeStatus is the result of a change.
type OutcomeStatus string

// Results of a change.
const (
	// OutcomeAccepted means that the change is committed and is never undone.
	OutcomeAccepted OutcomeStatus = "accepted"
	// OutcomeConflict means that another change to the same version was accepted
	// first.
	OutcomeConflict OutcomeStatus = "conflict"
	// OutcomeInvalid means that the change would have led to invalid
	// declarations.
	OutcomeInvalid OutcomeStatus = "invalid"
)

// Outcome is the answer to a change. A change that is sent again under the same
// id gets the same outcome, as long as that outcome is retained.
type Outcome struct {
	ID     ChangeID      `json:"id" cbor:"1,keyasint"`
	Status OutcomeStatus `json:"status" cbor:"2,keyasint"`
	// Version is the version that an accepted change created. For a refused
	// change it is the version in force at that time.
	Version Version `json:"version" cbor:"3,keyasint"`
	// Winner names the change that won a conflict.
	Winner ChangeID `json:"winner,omitempty" cbor:"4,keyasint,omitempty"`
	Faults Faults   `json:"faults,omitempty" cbor:"5,keyasint,omitempty"`
}

// Check reports a missing id or status.
func (o *Outcome) Check() Faults {
	fs := CheckName("id", o.ID)
	if o.Status == "" {
		fs.Add("status", "must not be empty")
	}
	return fs
}
