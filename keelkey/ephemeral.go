package keelkey

import (
	keel "github.com/greengagekeel/greengagekeel"
)

// Ephemeral creates an authority and the keys of several instances in memory, for
// demonstrations and tests.
func Ephemeral(names ...keel.InstanceName) (map[keel.InstanceName]*Keys, error) {
	authority, err := NewAuthority(AuthorityConfig{Name: "ephemeral authority"})
	if err != nil {
		return nil, err
	}
	root, err := authority.KeyPair()
	if err != nil {
		return nil, err
	}
	secret, token := randomHexLine(secretBytes), randomHexLine(operatorTokenBytes)
	all := make(map[keel.InstanceName]*Keys, len(names))
	for _, name := range names {
		pair, err := authority.Issue(IssueConfig{Instance: name})
		if err != nil {
			return nil, err
		}
		k := newKeys(Config{Instance: name})
		if err := k.activate(fileSet{
			authorities: root.Certificate,
			certificate: pair.Certificate,
			privateKey:  pair.PrivateKey,
			secret:      secret,
			token:       token,
		}); err != nil {
			return nil, err
		}
		all[name] = k
	}
	return all, nil
}
