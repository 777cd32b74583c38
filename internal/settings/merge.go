package settings

import (
	"fmt"

	"ferryfront.example/ferryfront/admission"
)

// maxNames is the maximum number of classes, and of plans, that a process has known since its start. Removed ones keep
// their index, because metrics and open streams still refer to it.
const maxNames = 256

// KeepIndexes returns next with its classes and plans reordered: each keeps the index that its name has in previous, and
// new ones are appended. Those that only previous has stay, marked as removed. It returns an error if a name occurs
// twice in next, or if there are more than maxNames.
func KeepIndexes(previous, next admission.Settings) (admission.Settings, error) {
	var err error
	next.Classes, err = mergeByName("classes", previous.Classes, next.Classes, func(c *admission.Class) (string, *bool) { return c.Name, &c.IsRemoved })
	if err != nil {
		return admission.Settings{}, err
	}
	next.Plans, err = mergeByName("tiersOfService", previous.Plans, next.Plans, func(p *admission.Plan) (string, *bool) { return p.Name, &p.IsRemoved })
	if err != nil {
		return admission.Settings{}, err
	}
	return next, nil
}

// mergeByName merges one list as KeepIndexes describes. Errors call the list field. identify returns the name of an
// element and a pointer to its IsRemoved field.
func mergeByName[T any](field string, previous, next []T, identify func(*T) (name string, isRemoved *bool)) ([]T, error) {
	indexes := map[string]int{}
	merged := make([]T, len(previous), len(previous)+len(next))
	for i := range previous {
		merged[i] = previous[i]
		name, isRemoved := identify(&merged[i])
		indexes[name], *isRemoved = i, true
	}
	seen := map[string]bool{}
	for i := range next {
		name, _ := identify(&next[i])
		if seen[name] {
			return nil, fmt.Errorf("settings.%s[%d].name is there twice: %q", field, i, name)
		}
		seen[name] = true
		if index, ok := indexes[name]; ok {
			merged[index] = next[i]
			continue
		}
		merged = append(merged, next[i])
	}
	if len(merged) > maxNames {
		return nil, fmt.Errorf("settings.%s: more than %d names since the start", field, maxNames)
	}
	return merged, nil
}
