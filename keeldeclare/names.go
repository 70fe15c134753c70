package keeldeclare

import (
	"strconv"

	keel "github.com/greengagekeel/greengagekeel"
)

func regionName(v keel.Region) string               { return string(v.Name) }
func domainName(v keel.FailureDomain) string        { return string(v.Name) }
func siteName(v keel.Site) string                   { return string(v.Name) }
func serviceName(v keel.Service) string             { return string(v.Name) }
func selectorName(v keel.Selector) string           { return string(v.Name) }
func labelName(v keel.LabelRule) string             { return v.Name }
func blockName(v keel.ClientBlock) string           { return v.Prefix.String() }
func instanceName(v keel.RegisteredInstance) string { return string(v.Name) }

func opField(i int) string { return "ops[" + strconv.Itoa(i) + "]" }
