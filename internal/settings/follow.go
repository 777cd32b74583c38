package settings

import (
	"fmt"

	"ferryfront.example/ferryfront/admission"
)

// mostNames bounds the classes, and the plans, that one process has known: the places of those that have gone are
// kept, since figures and open streams still have them.
const mostNames = 256

// KeepIndexes returns new settings for who has worked with others: classes and plans keep the places that they had, by
// their names; those that are not there any more are Gone, and new ones come behind.
func KeepIndexes(was, now admission.Settings) (admission.Settings, error) {
	var err error
	now.Classes, err = places("classes", was.Classes, now.Classes, func(c *admission.Class) (string, *bool) { return c.Name, &c.IsRemoved })
	if err != nil {
		return admission.Settings{}, err
	}
	now.Plans, err = places("tiersOfService", was.Plans, now.Plans, func(p *admission.Plan) (string, *bool) { return p.Name, &p.IsRemoved })
	if err != nil {
		return admission.Settings{}, err
	}
	return now, nil
}

func places[T any](field string, was, now []T, of func(*T) (name string, gone *bool)) ([]T, error) {
	at := map[string]int{}
	all := make([]T, len(was), len(was)+len(now))
	for i := range was {
		all[i] = was[i]
		name, gone := of(&all[i])
		at[name], *gone = i, true
	}
	named := map[string]bool{}
	for i := range now {
		name, _ := of(&now[i])
		if named[name] {
			return nil, fmt.Errorf("settings.%s[%d].name is there twice: %q", field, i, name)
		}
		named[name] = true
		if place, ok := at[name]; ok {
			all[place] = now[i]
			continue
		}
		all = append(all, now[i])
	}
	if len(all) > mostNames {
		return nil, fmt.Errorf("settings.%s: more than %d names since the start", field, mostNames)
	}
	return all, nil
}
