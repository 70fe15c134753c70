package keelguard

import (
	keel "github.com/greengagekeel/greengagekeel"
)

// Crash identifies one crash of an endpoint, as observed by one instance.
type Crash struct {
	Endpoint keel.EndpointID   `json:"endpoint" cbor:"1,keyasint"`
	Observer keel.InstanceName `json:"observer" cbor:"2,keyasint"`
	// Incarnation is the incarnation number of the observer, Number the
	// sequence number of the crash among its observations.
	Incarnation uint64 `json:"start" cbor:"3,keyasint"`
	Number      uint64 `json:"number" cbor:"4,keyasint"`
}

// Evidence says that a request was in flight when an endpoint crashed.
type Evidence struct {
	ID    ID    `json:"id" cbor:"1,keyasint"`
	Crash Crash `json:"death" cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age keel.Duration `json:"age" cbor:"3,keyasint"`
	// Cleared says that the evidence no longer counts: the request was answered
	// by another endpoint, or the endpoint had not crashed. Cleared evidence
	// stays cleared.
	Cleared bool `json:"cleared,omitempty" cbor:"4,keyasint,omitempty"`
}

// Check reports malformed names and a negative age.
func (e *Evidence) Check() keel.Faults {
	fs := keel.CheckName("death.endpoint.service", e.Crash.Endpoint.Service)
	fs = append(fs, keel.CheckName("death.endpoint.name", e.Crash.Endpoint.Name)...)
	fs = append(fs, keel.CheckName("death.observer", e.Crash.Observer)...)
	if e.Age < 0 {
		fs.Add("age", "is %s, must not be negative", e.Age)
	}
	return fs
}

// maxEvidence limits the evidence in one message.
const maxEvidence = 4096

// Message is a message between the guards of two instances.
type Message struct {
	Evidence []Evidence `cbor:"1,keyasint,omitempty"`
	// Permit asks the home of a fingerprint for a permit to dispatch the suspect
	// request to one more endpoint, which may crash as well.
	Permit *ID `cbor:"2,keyasint,omitempty"`
	// Return returns a permit that is no longer used.
	Return *ID `cbor:"3,keyasint,omitempty"`
	// AskInUse asks which permits the receiver uses.
	AskInUse bool `cbor:"4,keyasint,omitempty"`
	// About lists fingerprints whose evidence is requested as well.
	About []ID `cbor:"5,keyasint,omitempty"`
}

// Check reports every fault of the message.
func (m *Message) Check() keel.Faults {
	var fs keel.Faults
	if len(m.Evidence) > maxEvidence {
		fs.Add("evidence", "has %d entries, the limit is %d", len(m.Evidence), maxEvidence)
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
	// Permitted says that the permit is given.
	Permitted bool `cbor:"1,keyasint"`
	// Evidence is the home's evidence against the fingerprint, or the sender's
	// evidence against the fingerprints of InUse and of the request's About.
	Evidence []Evidence `cbor:"2,keyasint,omitempty"`
	// InUse lists the fingerprints whose permits the sender uses.
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
