package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

// Diff lists the changes from one document to another, with one line for each class that was added or removed and one
// for each changed value.
func Diff(from, to *clusterconfig.Document) []string {
	var lines []string
	if from.Default != to.Default {
		lines = append(lines, fmt.Sprintf("default: %q -> %q", from.Default, to.Default))
	}
	oldClasses, newClasses := classesByName(from), classesByName(to)
	for _, name := range slices.Sorted(maps.Keys(oldClasses)) {
		if _, found := newClasses[name]; !found {
			lines = append(lines, fmt.Sprintf("class %s: removed", name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(newClasses)) {
		before, found := oldClasses[name]
		after := flattenClass(newClasses[name])
		if !found {
			lines = append(lines, fmt.Sprintf("class %s: added", name))
			continue
		}
		lines = append(lines, diffValues(name, flattenClass(before), after)...)
	}
	return lines
}

func classesByName(d *clusterconfig.Document) map[string]clusterconfig.Class {
	m := map[string]clusterconfig.Class{}
	for _, c := range d.Classes {
		m[c.Name] = c
	}
	return m
}

func diffValues(class string, before, after map[string]string) []string {
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	var lines []string
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if before[k] != after[k] {
			lines = append(lines, fmt.Sprintf("class %s: %s: %s -> %s", class, k, orAbsent(before[k]), orAbsent(after[k])))
		}
	}
	return lines
}

func orAbsent(v string) string {
	if v == "" {
		return "absent"
	}
	return v
}

// flattenClass returns the JSON text of each value of a class by its key. The keys of nested values are joined by dots.
func flattenClass(c clusterconfig.Class) map[string]string {
	out := map[string]string{}
	data, err := json.Marshal(c)
	if err != nil {
		return out
	}
	var tree map[string]any
	if json.Unmarshal(data, &tree) == nil {
		flattenInto(out, "", tree)
	}
	return out
}

func flattenInto(out map[string]string, prefix string, tree map[string]any) {
	for k, v := range tree {
		if sub, ok := v.(map[string]any); ok {
			flattenInto(out, prefix+k+".", sub)
			continue
		}
		text, _ := json.Marshal(v) // cannot fail, since v was decoded from JSON
		out[prefix+k] = string(text)
	}
}
