package controlgroup

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"ferryfront.example/ferryfront/internal/versions"
)

// listMost bounds a list of versions in force that a member takes: more than InForceMost, in case a later release of
// the replicas has more.
const listMost = 16

// Rejection is a version in force that the member can't act on.
type Rejection struct {
	Document string
	Version  versions.Version
	Reason   string
}

// memberDocument is a member's part in one document.
//
// A version that the group has not listed, as one of a file that is newer than what is in force, is acted on beside
// those that are, the stricter rule of each, and reported. It is dropped once the group lists others up to its number
// or beyond: then it was in force and is retired, or can't come into force any more. A version is never dropped
// because a list ends before it: that list may be late, and the group may reckon with the report that had it.
type memberDocument struct {
	name     string
	acting   []versions.Doc // oldest first
	changed  bool           // since the host has asked
	inForce  []versions.Version
	contents []versions.Doc // received and not acted on, for a list to come
	rejected []Rejection    // of those in force
}

// versionsOf returns the versions without their texts.
func versionsOf(docs []versions.Doc) []versions.Version {
	list := make([]versions.Version, 0, len(docs))
	for _, doc := range docs {
		list = append(list, doc.Version)
	}
	return list
}

// takeList takes the list of the versions in force, and tells whether others are acted on. A list that is older than
// one before, as of a replica that lags behind, is ignored: both ends of the true list only grow.
func (d *memberDocument) takeList(list []versions.Version, check func(string, []byte) error) (bool, error) {
	if len(list) > listMost {
		return false, fmt.Errorf("%d versions in force, at most %d", len(list), listMost)
	}
	for i := 1; i < len(list); i++ {
		if list[i].Number <= list[i-1].Number {
			return false, fmt.Errorf("version %v is listed after %v", list[i], list[i-1])
		}
	}
	if len(list) == 0 || d.isStale(list) {
		return false, nil
	}
	d.inForce = slices.Clone(list)
	return d.settle(check), nil
}

func (d *memberDocument) isStale(list []versions.Version) bool {
	if len(d.inForce) == 0 {
		return false
	}
	return list[0].Number < d.inForce[0].Number || list[len(list)-1].Number < d.newest().Number
}

// newest is the newest version that the group has listed.
func (d *memberDocument) newest() versions.Version { return d.inForce[len(d.inForce)-1] }

// takeContent takes the text of a version, which most often comes before the list that has the version.
func (d *memberDocument) takeContent(doc versions.Doc, check func(string, []byte) error) (bool, error) {
	if versions.NewDoc(doc.Number, doc.Text).Version != doc.Version {
		return false, fmt.Errorf("version %v: the hash is not that of the text", doc.Version)
	}
	if indexOf(d.acting, doc.Version) >= 0 || indexOf(d.contents, doc.Version) >= 0 {
		return false, nil
	}
	if len(d.contents) >= listMost {
		return false, errors.New("too many texts without a list that names them")
	}
	d.contents = append(d.contents, doc)
	return d.settle(check), nil
}

// settle adopts the versions in force whose texts are there and drops those that are not in force any more, and tells
// whether others are acted on.
func (d *memberDocument) settle(check func(string, []byte) error) bool {
	if len(d.inForce) == 0 {
		return false
	}
	acting := slices.Concat(d.acting, d.adopt(check))
	slices.SortFunc(acting, func(a, b versions.Doc) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Hash, b.Hash))
	})
	if slices.ContainsFunc(acting, func(doc versions.Doc) bool { return d.isInForce(doc.Version) }) {
		acting = slices.DeleteFunc(acting, func(doc versions.Doc) bool {
			return !d.isInForce(doc.Version) && doc.Number <= d.newest().Number
		})
	}
	d.contents = slices.DeleteFunc(d.contents, func(doc versions.Doc) bool { return doc.Number <= d.newest().Number })
	if slices.EqualFunc(acting, d.acting, func(a, b versions.Doc) bool { return a.Version == b.Version }) {
		return false
	}
	d.acting, d.changed = acting, true
	return true
}

// adopt returns the versions to act on from now on, and keeps in mind which can't be.
func (d *memberDocument) adopt(check func(string, []byte) error) []versions.Doc {
	d.rejected = slices.DeleteFunc(d.rejected, func(r Rejection) bool { return !d.isInForce(r.Version) })
	var adopted []versions.Doc
	for _, doc := range d.contents {
		if !d.isInForce(doc.Version) || d.isRejected(doc.Version) {
			continue
		}
		if err := check(d.name, doc.Text); err != nil {
			d.rejected = append(d.rejected, Rejection{d.name, doc.Version, err.Error()})
			continue
		}
		adopted = append(adopted, doc)
	}
	slices.SortFunc(d.rejected, func(a, b Rejection) int { return cmp.Compare(a.Version.Number, b.Version.Number) })
	return adopted
}

func (d *memberDocument) isInForce(version versions.Version) bool {
	return slices.Contains(d.inForce, version)
}

func (d *memberDocument) isRejected(version versions.Version) bool {
	return slices.ContainsFunc(d.rejected, func(r Rejection) bool { return r.Version == version })
}

// lacksNewest tells that the newest version that the group has listed is not acted on.
func (d *memberDocument) lacksNewest() bool {
	return len(d.inForce) > 0 && indexOf(d.acting, d.newest()) < 0
}
