package keelguard

import (
	keel "github.com/greengagekeel/greengagekeel"
)

// Death identifies one crash of an endpoint as one instance saw it.
type Death struct {
	Endpoint keel.EndpointID   `json:"endpoint" cbor:"1,keyasint"`
	Observer keel.InstanceName `json:"observer" cbor:"2,keyasint"`
	// Start is the start of the observer, Number counts its observations.
	Start  uint64 `json:"start" cbor:"3,keyasint"`
	Number uint64 `json:"number" cbor:"4,keyasint"`
}

// Evidence says that a request was in flight when an endpoint crashed.
type Evidence struct {
	ID    ID    `json:"id" cbor:"1,keyasint"`
	Death Death `json:"death" cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age keel.Duration `json:"age" cbor:"3,keyasint"`
	// Cleared says that the evidence no longer counts: the request ran to its
	// end elsewhere, or the endpoint had not crashed at all. It is never taken back.
	Cleared bool `json:"cleared,omitempty" cbor:"4,keyasint,omitempty"`
}

// Check reports malformed names and a negative age.
func (e *Evidence) Check() keel.Faults {
	fs := keel.CheckName("death.endpoint.service", e.Death.Endpoint.Service)
	fs = append(fs, keel.CheckName("death.endpoint.name", e.Death.Endpoint.Name)...)
	fs = append(fs, keel.CheckName("death.observer", e.Death.Observer)...)
	if e.Age < 0 {
		fs.Add("age", "is %s, must not be negative", e.Age)
	}
	return fs
}

// maxEvidence bounds the evidence in one message.
const maxEvidence = 4096

// Message is what guards tell and ask each other.
type Message struct {
	Evidence []Evidence `cbor:"1,keyasint,omitempty"`
	// Permit asks the home of a fingerprint for the permission to risk one more
	// endpoint.
	Permit *ID `cbor:"2,keyasint,omitempty"`
	// Return gives a permission back that was not used.
	Return *ID `cbor:"3,keyasint,omitempty"`
	// AskInUse asks which permissions the receiver uses.
	AskInUse bool `cbor:"4,keyasint,omitempty"`
	// About lists fingerprints whose evidence is asked for as well.
	About []ID `cbor:"5,keyasint,omitempty"`
}

// Check reports every fault of the message.
func (m *Message) Check() keel.Faults {
	var fs keel.Faults
	if len(m.Evidence) > maxEvidence {
		fs.Add("evidence", "has %d pieces, the limit is %d", len(m.Evidence), maxEvidence)
	}
	if len(m.About) > maxEvidence {
		fs.Add("about", "has %d fingerprints, the limit is %d", len(m.About), maxEvidence)
	}
	for i := range m.Evidence {
		fs.Under("evidence", m.Evidence[i].Check())
	}
	return fs
}

// Reply answers a [Message].
type Reply struct {
	// Permitted answers a request for a permission.
	Permitted bool `cbor:"1,keyasint"`
	// Evidence is what the home knows about the fingerprint, or what the sender
	// knows about those in InUse and those that it was asked about.
	Evidence []Evidence `cbor:"2,keyasint,omitempty"`
	// InUse lists the fingerprints whose permission the sender uses.
	InUse []ID `cbor:"3,keyasint,omitempty"`
}

// Check reports every fault of the reply.
func (r *Reply) Check() keel.Faults {
	m := Message{Evidence: r.Evidence}
	fs := m.Check()
	if len(r.InUse) > maxEvidence {
		fs.Add("in_use", "has %d fingerprints, the limit is %d", len(r.InUse), maxEvidence)
	}
	return fs
}
