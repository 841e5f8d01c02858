package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

// Diff lists the changes from one document to another, with one line for each class that was added or removed and one
// for each changed value, and the same for teams.
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
	lines = append(lines, diffRoutes(from, to)...)
	return append(lines, diffTeams(from, to)...)
}

// diffRoutes lists the changes of routes.
func diffRoutes(from, to *clusterconfig.Document) []string {
	routes := func(d *clusterconfig.Document) map[string]clusterconfig.Route {
		m := map[string]clusterconfig.Route{}
		for _, r := range d.Routes {
			m[r.Database] = r
		}
		return m
	}
	before, after := routes(from), routes(to)
	names := maps.Clone(before)
	maps.Copy(names, after)
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		was, is := before[name], after[name]
		switch {
		case is.Database == "":
			lines = append(lines, fmt.Sprintf("route %s: removed; its callers are refused", name))
		case was.Database == "":
			lines = append(lines, fmt.Sprintf("route %s: added", name))
		case was != is:
			lines = append(lines, fmt.Sprintf("route %s: %s -> %s", name, routeText(was), routeText(is)))
		}
	}
	return lines
}

func routeText(r clusterconfig.Route) string {
	text := fmt.Sprintf("service %s, class %s, timeout %v", r.Service, r.Class, time.Duration(r.Timeout))
	if r.Target > 0 {
		text += fmt.Sprintf(", target %v", time.Duration(r.Target))
	}
	if r.Reads != (clusterconfig.Reads{}) {
		text += fmt.Sprintf(", %s reads of age %v", r.Reads.Consistency, r.Reads.MaxAge)
	}
	if r.Public {
		text += ", public"
	}
	return text
}

// diffTeams lists the changes of teams. Of keys only numbers are shown.
func diffTeams(from, to *clusterconfig.Document) []string {
	var lines []string
	if from.KeysRequired != to.KeysRequired {
		text := map[bool]string{true: "required", false: "not required"}
		lines = append(lines, fmt.Sprintf("keys of teams: %s -> %s", text[from.KeysRequired], text[to.KeysRequired]))
	}
	names := map[string]bool{}
	for _, t := range slices.Concat(from.Teams, to.Teams) {
		names[t.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, was := from.Team(name)
		after, is := to.Team(name)
		switch {
		case !is:
			lines = append(lines, fmt.Sprintf("team %s: removed", name))
		case !was:
			lines = append(lines, fmt.Sprintf("team %s: added", name))
		default:
			lines = append(lines, diffTeam(before, after)...)
		}
	}
	return lines
}

func diffTeam(before, after clusterconfig.Team) (lines []string) {
	added, withdrawn := countMissing(after.Keys, before.Keys), countMissing(before.Keys, after.Keys)
	if added+withdrawn > 0 {
		lines = append(lines, fmt.Sprintf("team %s: keys: %d added, %d withdrawn", after.Name, added, withdrawn))
	}
	if from, to := limitText(before.Limit), limitText(after.Limit); from != to {
		lines = append(lines, fmt.Sprintf("team %s: limit: %s -> %s", after.Name, from, to))
	}
	if before.Priority != after.Priority {
		lines = append(lines, fmt.Sprintf("team %s: priority: %d -> %d", after.Name, before.Priority, after.Priority))
	}
	return lines
}

// countMissing returns how many of the keys are not among others.
func countMissing(keys, others []string) (n int) {
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

func limitText(l *clusterconfig.RateLimit) string {
	if l == nil {
		return "none"
	}
	return fmt.Sprintf("%g a second, burst %g", l.PerSecond, l.Burst)
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
