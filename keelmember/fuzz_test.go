package keelmember_test

import (
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
)

// FuzzMessages passes arbitrary messages of each kind to a core of a running
// group, and lets the group go on.
func FuzzMessages(f *testing.F) {
	in := instance(0, 1, 2)
	contact := keelmember.Contact{Name: in.Name, Peer: in.Peer}
	seeds := []any{
		keelmember.Hello{Instance: in, Answer: true, Newer: 3, Members: []keel.Instance{in}},
		keelmember.Heartbeat{Instance: &in, Incarnation: 2, Number: 1, Version: 3, Capacity: fourServices},
		keelmember.Digest{
			Domain: "domain-01", Region: "r", Sender: contact, Version: 9, Lowest: 2, Highest: 9, Live: 3,
			Representatives: []keelmember.Contact{contact}, Capacity: fourServices, AgeMillis: 5,
			Instances: []keelmember.DigestInstance{{Name: in.Name, Peer: in.Peer, Free: []int{1}, Slots: []int{2}}},
		},
	}
	for kind, s := range seeds {
		body, err := keel.EncodeCBOR(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(kind), "d00-01", body)
	}
	f.Fuzz(func(t *testing.T, kind byte, from string, body []byte) {
		messages := []keel.Checker{&keelmember.Hello{}, &keelmember.Heartbeat{}, &keelmember.Digest{}}
		m := messages[int(kind)%len(messages)]
		if keel.DecodeCBOR(body, m) != nil {
			return
		}
		s := newSim(1, 2, 2)
		s.run(3 * second)
		n := s.nodes[0]
		for range 2 {
			s.apply(n, n.core.Receive(s.now, keel.InstanceName(from), m))
		}
		s.run(2 * second)
		v := n.core.View()
		for _, d := range v.Domains() {
			v.Members(d.Domain)
		}
		v.Confirm(9, nil)
	})
}
