package keelsync_test

import (
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/matryer/is"
)

func TestVoterToRemove(t *testing.T) {
	seen := func(name, domain string, silent time.Duration) keelsync.Member {
		return keelsync.Member{Name: keel.InstanceName(name), Domain: keel.DomainName(domain), Seen: true, SilentFor: silent}
	}
	unseen := keelsync.Member{Name: "b", Domain: "d1"}
	learner := seen("c", "d1", 0)
	learner.Learner = true
	const long, short = time.Minute, 100 * time.Millisecond
	for _, tt := range []struct {
		name    string
		members []keelsync.Member
		leading time.Duration
		want    keel.InstanceName
	}{
		{"silent, another one votes", []keelsync.Member{seen("b", "d1", long), seen("c", "d1", short)}, long, "b"},
		{"silent and alone", []keelsync.Member{seen("b", "d1", long), seen("c", "d2", short)}, long, ""},
		{"never seen and alone", []keelsync.Member{unseen, seen("c", "d2", short)}, long, ""},
		{"never seen, another one votes", []keelsync.Member{unseen, seen("c", "d1", short)}, long, "b"},
		{"never seen by a new leader", []keelsync.Member{unseen, seen("c", "d1", short)}, short, ""},
		{"the other one does not vote yet", []keelsync.Member{seen("b", "d1", long), learner}, long, ""},
		{"both silent", []keelsync.Member{seen("b", "d1", long), seen("c", "d1", long)}, long, ""},
		{"the leader replaces", []keelsync.Member{seen("b", "d0", long)}, long, "b"},
		{"no failure domain known", []keelsync.Member{seen("b", "", long), seen("c", "", short)}, long, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			members := append([]keelsync.Member{{Name: "a", Domain: "d0"}}, tt.members...)
			m, ok := keelsync.VoterToRemove("a", members, tt.leading)
			is.Equal(m.Name, tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}
