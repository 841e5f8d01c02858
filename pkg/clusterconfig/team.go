package clusterconfig

import (
	"fmt"
	"strings"
)

// Team is a group of callers that are known by its keys and share its limit.
type Team struct {
	Name string   `json:"name"`           // one word, told to members
	Keys []string `json:"keys,omitempty"` // hashes of the team's keys; without any, nobody can call as the team
	// Priority orders teams within a rank when slots are short; 0 is the first.
	Priority int `json:"priority,omitempty"`
	// Limit bounds the operations of the team over all entry VMs together; absent: no limit.
	Limit *RateLimit `json:"limit,omitempty"`
}

// RateLimit is a token bucket. A statement outside transactions, or a transaction, takes one token.
type RateLimit struct {
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
}

// maxTeamNameBytes is the longest name that platforms give to a team.
const maxTeamNameBytes = 200

// maxRate bounds rates and bursts, so that sums of them stay exact.
const maxRate = 1e9

// TeamOfKey returns the team that holds the key with the given hash.
func (d *Document) TeamOfKey(hash string) (Team, bool) {
	if hash == "" {
		return Team{}, false
	}
	if d.teamOfKey != nil {
		i, ok := d.teamOfKey[hash]
		if !ok {
			return Team{}, false
		}
		return d.Teams[i], true
	}
	for _, t := range d.Teams {
		for _, k := range t.Keys {
			if k == hash {
				return t, true
			}
		}
	}
	return Team{}, false
}

// Team returns the team with the given name.
func (d *Document) Team(name string) (Team, bool) {
	if d.teamAt != nil {
		i, ok := d.teamAt[name]
		if !ok {
			return Team{}, false
		}
		return d.Teams[i], true
	}
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// index prepares lookups that callers make with each statement. It must be called before the document is shared.
func (d *Document) index() {
	d.routeOf = make(map[string]int, len(d.Routes))
	for i, r := range d.Routes {
		d.routeOf[r.Database] = i
	}
	d.teamOfKey, d.teamAt = map[string]int{}, map[string]int{}
	for i, t := range d.Teams {
		d.teamAt[t.Name] = i
		for _, k := range t.Keys {
			d.teamOfKey[k] = i
		}
	}
}

func (d *Document) validateTeams() error {
	if len(d.Teams) > 0 && !d.KeysRequired {
		return fmt.Errorf("teams: keysRequired must be set")
	}
	names, holders := map[string]bool{}, map[string]string{}
	for i, t := range d.Teams {
		if err := t.validate(); err != nil {
			return fmt.Errorf("teams[%d] %q: %w", i, t.Name, err)
		}
		if names[t.Name] {
			return fmt.Errorf("teams[%d]: name %q is used twice", i, t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if other, ok := holders[k]; ok && other != t.Name {
				return fmt.Errorf("teams[%d] %q: a key is also held by %q", i, t.Name, other)
			}
			holders[k] = t.Name
		}
	}
	return nil
}

// ValidTeamName reports whether members can be told the name: one printable word.
func ValidTeamName(name string) bool {
	return name != "" && len(name) <= maxTeamNameBytes && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

func (t Team) validate() error {
	if !ValidTeamName(t.Name) {
		return fmt.Errorf("name must be one word of 1 to %d bytes", maxTeamNameBytes)
	}
	if t.Priority < 0 {
		return fmt.Errorf("priority must not be negative")
	}
	if l := t.Limit; l != nil && !(l.PerSecond >= 0 && l.PerSecond <= maxRate && l.Burst >= 0 && l.Burst <= maxRate) {
		return fmt.Errorf("limit must have a rate and a burst of 0 to %g", maxRate)
	}
	for _, k := range t.Keys {
		if k == "" {
			return fmt.Errorf("hashes of keys must not be empty")
		}
	}
	return nil
}
