package keeldeclare

import (
	"bytes"
	"slices"
	"strings"

	keel "github.com/greengagekeel/greengagekeel"
)

// Diff returns the operations that turn one set of declarations into another,
// ordered by kind and name. Both must be valid.
func Diff(from, to *keel.Declarations) []keel.Op {
	from, to = canonical(from), canonical(to)
	var ops []keel.Op
	ops = append(ops, diffList(keel.KindRegion, from.Regions, to.Regions, regionName, sameCBOR, func(o *keel.Op, v *keel.Region) { o.Region = v })...)
	ops = append(ops, diffList(keel.KindDomain, from.Domains, to.Domains, domainName, sameCBOR, func(o *keel.Op, v *keel.FailureDomain) { o.Domain = v })...)
	ops = append(ops, diffList(keel.KindSite, from.Sites, to.Sites, siteName, sameCBOR, func(o *keel.Op, v *keel.Site) { o.Site = v })...)
	ops = append(ops, diffList(keel.KindLink, from.Links, to.Links, keel.Link.Name, sameCBOR, func(o *keel.Op, v *keel.Link) { o.Link = v })...)
	ops = append(ops, diffList(keel.KindService, from.Services, to.Services, serviceName, sameCBOR, func(o *keel.Op, v *keel.Service) { o.Service = v })...)
	ops = append(ops, diffList(keel.KindSelector, from.Selectors, to.Selectors, selectorName, sameCBOR, func(o *keel.Op, v *keel.Selector) { o.Selector = v })...)
	ops = append(ops, diffList(keel.KindLabel, from.Labels, to.Labels, labelName, sameCBOR, func(o *keel.Op, v *keel.LabelRule) { o.Label = v })...)
	ops = append(ops, diffBlocks(from.Blocks, to.Blocks)...)
	ops = append(ops, diffList(keel.KindInstance, from.Instances, to.Instances, instanceName, sameCBOR, func(o *keel.Op, v *keel.RegisteredInstance) { o.Instance = v })...)
	return ops
}

// sameCBOR reports whether two values have the same encoding, so that an empty
// list equals a nil one.
func sameCBOR[T any](a, b T) bool {
	x, errX := keel.EncodeCBOR(a)
	y, errY := keel.EncodeCBOR(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// diffList compares two lists that are sorted by name.
func diffList[T any](kind keel.Kind, from, to []T, name func(T) string, same func(a, b T) bool, set func(*keel.Op, *T)) []keel.Op {
	var ops []keel.Op
	for len(from) > 0 || len(to) > 0 {
		order := 0
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		default:
			order = strings.Compare(name(from[0]), name(to[0]))
		}
		if order < 0 {
			ops = append(ops, keel.Op{Action: keel.OpDelete, Kind: kind, Name: name(from[0])})
			from = from[1:]
			continue
		}
		if order > 0 || !same(from[0], to[0]) {
			op := keel.Op{Action: keel.OpPut, Kind: kind, Name: name(to[0])}
			set(&op, &to[0])
			ops = append(ops, op)
		}
		to = to[1:]
		if order == 0 {
			from = from[1:]
		}
	}
	return ops
}

// diffBlocks compares two lists that are sorted by prefix.
func diffBlocks(from, to []keel.ClientBlock) []keel.Op {
	var ops []keel.Op
	for len(from) > 0 || len(to) > 0 {
		order := compareBlocks(from, to)
		if order < 0 {
			ops = append(ops, keel.Op{Action: keel.OpDelete, Kind: keel.KindBlock, Name: blockName(from[0])})
			from = from[1:]
			continue
		}
		if order > 0 || !slices.Equal(from[0].Sites, to[0].Sites) {
			ops = append(ops, keel.Op{Action: keel.OpPut, Kind: keel.KindBlock, Name: blockName(to[0]), Block: &to[0]})
		}
		to = to[1:]
		if order == 0 {
			from = from[1:]
		}
	}
	return ops
}

func compareBlocks(from, to []keel.ClientBlock) int {
	switch {
	case len(from) == 0:
		return 1
	case len(to) == 0:
		return -1
	default:
		return from[0].Prefix.Compare(to[0].Prefix)
	}
}
