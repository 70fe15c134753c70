package keelstore

import (
	"fmt"
	"path/filepath"
	"strings"

	keel "github.com/greengagekeel/greengagekeel"
)

// Report describes the content of a data folder.
type Report struct {
	Dir    string          `json:"dir"`
	Format int             `json:"format"`
	Vote   ReportVote      `json:"vote"`
	Snap   ReportSnapshot  `json:"snapshot"`
	Files  []ReportSegment `json:"files"`
	// First and Last are the indexes of the first and last of Entries, or 0 if
	// there are none.
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Entries holds the entries after the snapshot.
	Entries []ReportEntry `json:"entries"`
}

// ReportVote describes the stored vote.
type ReportVote struct {
	Term        uint64            `json:"term"`
	For         keel.InstanceName `json:"for"`
	Incarnation uint64            `json:"incarnation"`
}

// ReportSnapshot describes the stored snapshot. Index 0 means that there is
// none.
type ReportSnapshot struct {
	Index  uint64       `json:"index"`
	Term   uint64       `json:"term"`
	Bytes  int          `json:"bytes"`
	Voters []keel.Voter `json:"voters"`
}

// ReportSegment describes one log file.
type ReportSegment struct {
	File      string `json:"file"`
	BaseIndex uint64 `json:"base_index"`
	BaseTerm  uint64 `json:"base_term"`
	Records   int    `json:"records"`
	Bytes     int64  `json:"bytes"`
	Torn      bool   `json:"torn"`
}

// ReportEntry describes one entry after the snapshot.
type ReportEntry struct {
	Index  uint64         `json:"index"`
	Term   uint64         `json:"term"`
	Type   keel.EntryType `json:"type"`
	Bytes  int            `json:"bytes"`
	Voters []keel.Voter   `json:"voters,omitempty"`
}

// Verify checks every file of a data folder and reports its content. It is
// read-only and needs no running process. If a file is damaged, it returns a
// [*DamageError] and a report of the content read up to there.
func Verify(dir string) (Report, error) {
	fo, err := readFolder(dir)
	r := Report{Dir: dir, Format: FormatVersion}
	r.Vote = ReportVote{fo.vote.Term, fo.vote.For, fo.vote.Incarnation}
	r.Snap = ReportSnapshot{fo.snapshot.Index, fo.snapshot.Term, len(fo.snapshot.Data), fo.snapshot.Voters}
	for i := range fo.segments {
		f := &fo.segments[i]
		r.Files = append(r.Files, ReportSegment{filepath.Base(f.path), f.BaseIndex, f.BaseTerm, len(f.Entries), f.Size, f.Torn})
	}
	if err != nil {
		return r, err
	}
	for _, e := range fo.entries {
		r.Entries = append(r.Entries, ReportEntry{e.Index, e.Term, e.Type, len(e.Data), e.Voters})
	}
	if len(fo.entries) > 0 {
		r.First = fo.entries[0].Index
		r.Last = fo.last().index
	}
	return r, nil
}

var entryTypeTexts = [...]string{keel.EntryNoop: "noop", keel.EntryCommand: "command", keel.EntryVoters: "voters"}

// String returns the report as text, with one line for each file and entry.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: format %d\n", r.Dir, r.Format)
	fmt.Fprintf(&b, "vote: term %d for %q, incarnation %016x\n", r.Vote.Term, r.Vote.For, r.Vote.Incarnation)
	fmt.Fprintf(&b, "snapshot: entry %d of term %d, %d bytes, voters%s\n", r.Snap.Index, r.Snap.Term, r.Snap.Bytes, voterText(r.Snap.Voters))
	for _, f := range r.Files {
		fmt.Fprintf(&b, "file %s: after entry %d of term %d, %d records, %d bytes", f.File, f.BaseIndex, f.BaseTerm, f.Records, f.Bytes)
		if f.Torn {
			b.WriteString(", then a record that is not whole")
		}
		b.WriteByte('\n')
	}
	for _, e := range r.Entries {
		fmt.Fprintf(&b, "entry %d: term %d, %s, %d bytes%s\n", e.Index, e.Term, entryTypeTexts[e.Type], e.Bytes, voterText(e.Voters))
	}
	return b.String()
}

func voterText(voters []keel.Voter) string {
	var b strings.Builder
	for _, v := range voters {
		fmt.Fprintf(&b, " %s/%016x", v.Name, v.Incarnation)
		if v.Learner {
			b.WriteString("(learner)")
		}
	}
	return b.String()
}
