package keeldeclare

import (
	"net/netip"
	"slices"
	"strings"

	keel "github.com/greengagekeel/greengagekeel"
)

// ApplyOps returns the result of applying ops to d, in canonical form. It
// returns [keel.Faults] if an operation deletes an object that does not exist,
// or if the result is invalid.
func ApplyOps(d *keel.Declarations, ops []keel.Op) (*keel.Declarations, error) {
	e := editor{ops: ops}
	out := e.editLists(d)
	out.Blocks = editList(&e, keel.KindBlock, d.Blocks, blockName, func(o *keel.Op) *keel.ClientBlock { return o.Block })
	out.Sort()
	e.faults = append(e.faults, out.Check()...)
	if err := e.faults.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

// editor applies operations to declarations and collects faults.
type editor struct {
	ops    []keel.Op
	mode   opMode
	faults keel.Faults
}

// editLists returns d with the operations applied to every list but the blocks,
// in canonical order. The result has no blocks.
func (e *editor) editLists(d *keel.Declarations) *keel.Declarations {
	e.checkKinds()
	out := &keel.Declarations{
		Regions:   editList(e, keel.KindRegion, d.Regions, regionName, func(o *keel.Op) *keel.Region { return o.Region }),
		Domains:   editList(e, keel.KindDomain, d.Domains, domainName, func(o *keel.Op) *keel.FailureDomain { return o.Domain }),
		Sites:     editList(e, keel.KindSite, d.Sites, siteName, func(o *keel.Op) *keel.Site { return o.Site }),
		Links:     editList(e, keel.KindLink, d.Links, keel.Link.Name, func(o *keel.Op) *keel.Link { return o.Link }),
		Services:  editList(e, keel.KindService, d.Services, serviceName, func(o *keel.Op) *keel.Service { return o.Service }),
		Selectors: editList(e, keel.KindSelector, d.Selectors, selectorName, func(o *keel.Op) *keel.Selector { return o.Selector }),
		Labels:    editList(e, keel.KindLabel, d.Labels, labelName, func(o *keel.Op) *keel.LabelRule { return o.Label }),
		Instances: editList(e, keel.KindInstance, d.Instances, instanceName, func(o *keel.Op) *keel.RegisteredInstance { return o.Instance }),
	}
	return out
}

var kinds = []keel.Kind{
	keel.KindRegion, keel.KindDomain, keel.KindSite, keel.KindLink, keel.KindService,
	keel.KindSelector, keel.KindLabel, keel.KindBlock, keel.KindInstance,
}

func (e *editor) checkKinds() {
	for i := range e.ops {
		if !slices.Contains(kinds, e.ops[i].Kind) {
			e.faults.Add(opField(i)+".kind", "is %q, must be one of %q", e.ops[i].Kind, kinds)
		}
	}
}

// editList applies the operations of one kind to a list. Of several operations
// on one name the last one takes effect.
func editList[T any](e *editor, kind keel.Kind, list []T, name func(T) string, value func(*keel.Op) *T) []T {
	var edits map[string]*T
	var known map[string]bool
	for i := range e.ops {
		o := &e.ops[i]
		if o.Kind != kind {
			continue
		}
		if edits == nil {
			edits = map[string]*T{}
			known = namesOf(list, name)
		}
		if o.Action == keel.OpDelete && e.mode == opStrict && !known[o.Name] {
			e.faults.Add(opField(i)+".name", "%s %q is not declared", kind, o.Name)
		}
		edits[o.Name] = nil
		known[o.Name] = false
		if o.Action == keel.OpPut {
			edits[o.Name] = value(o)
			known[o.Name] = true
		}
	}
	if edits == nil {
		return list
	}
	return mergeList(list, edits, name)
}

func namesOf[T any](list []T, name func(T) string) map[string]bool {
	known := make(map[string]bool, len(list))
	for _, v := range list {
		known[name(v)] = true
	}
	return known
}

// mergeList applies edits by name to a list; a nil value deletes the element.
// The result is sorted by name.
func mergeList[T any](list []T, edits map[string]*T, name func(T) string) []T {
	out := make([]T, 0, len(list)+len(edits))
	for _, v := range list {
		if _, ok := edits[name(v)]; !ok {
			out = append(out, v)
		}
	}
	for _, v := range edits {
		if v != nil {
			out = append(out, *v)
		}
	}
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	if len(out) == 0 {
		return nil
	}
	return out
}

// blockEdits returns the edits that the operations make to the table b.
func (e *editor) blockEdits(b *Blocks) []blockEdit {
	var edits []blockEdit
	known := map[netip.Prefix]bool{}
	for i := range e.ops {
		o := &e.ops[i]
		if o.Kind != keel.KindBlock {
			continue
		}
		p, err := netip.ParsePrefix(o.Name)
		if err != nil || p != p.Masked() || p.String() != o.Name {
			e.faults.Add(opField(i)+".name", "%q is not a prefix in canonical form", o.Name)
			continue
		}
		if o.Action == keel.OpPut {
			e.faults.Under(opField(i)+".block", o.Block.Check())
			edits = append(edits, blockEdit{prefix: p, sites: o.Block.Sites})
			known[p] = true
			continue
		}
		if e.mode == opStrict && !e.blockExists(b, known, p) {
			e.faults.Add(opField(i)+".name", "block %q is not declared", o.Name)
		}
		edits = append(edits, blockEdit{prefix: p})
		known[p] = false
	}
	return edits
}

// blockExists reports whether the table b has a block with prefix p after the
// earlier operations, whose effect is in known.
func (e *editor) blockExists(b *Blocks, known map[netip.Prefix]bool, p netip.Prefix) bool {
	if k, ok := known[p]; ok {
		return k
	}
	_, ok := b.Get(p)
	return ok
}

// checkResult checks the edited declarations and the sites that their blocks
// refer to. Blocks of s that are not edited are checked only if a site was
// deleted.
func (e *editor) checkResult(s *Snapshot, d *keel.Declarations, edits []blockEdit) {
	e.faults = append(e.faults, d.Check()...)
	if len(d.Sites) > maxSites {
		e.faults.Add("sites", "has %d sites, the limit is %d", len(d.Sites), maxSites)
	}
	sites := namesOf(d.Sites, siteName)
	for _, ed := range edits {
		for _, site := range ed.sites {
			if !sites[string(site)] {
				e.faults.Add("blocks["+ed.prefix.String()+"].sites", "%q is not declared", site)
			}
		}
	}
	if e.deletesSite() {
		e.checkSiteReferences(s.Blocks, edits, sites)
	}
}

func (e *editor) deletesSite() bool {
	return slices.ContainsFunc(e.ops, func(o keel.Op) bool {
		return o.Kind == keel.KindSite && o.Action == keel.OpDelete
	})
}

// checkSiteReferences reports the first unedited block that refers to an
// undeclared site. It reads the whole table, which is affordable because sites
// are seldom deleted.
func (e *editor) checkSiteReferences(b *Blocks, edits []blockEdit, sites map[string]bool) {
	edited := make(map[netip.Prefix]bool, len(edits))
	for _, ed := range edits {
		edited[ed.prefix] = true
	}
	for p, list := range b.All() {
		if edited[p] {
			continue
		}
		for _, site := range list {
			if !sites[string(site)] {
				e.faults.Add("blocks["+p.String()+"].sites", "%q is not declared", site)
				return
			}
		}
	}
}
