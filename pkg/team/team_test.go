package team

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

func documentWithTeams() *clusterconfig.Document {
	return &clusterconfig.Document{Version: 3, KeysRequired: true, Teams: []clusterconfig.Team{
		{Name: "crew", Keys: []string{string(Hash("k1")), string(Hash("k2"))}}, {Name: "office"},
	}}
}

// A caller must be known as the team that holds its key, and as no other. Unknown keys, keys that no team holds any more and
// missing keys must be refused, unless the route is public or no keys are in use.
func TestIdentify(t *testing.T) {
	closed, public := clusterconfig.Route{Database: "db"}, clusterconfig.Route{Database: "open", Public: true}
	withoutKeys := documentWithTeams()
	withoutKeys.KeysRequired, withoutKeys.Teams = false, nil
	withoutTeams := documentWithTeams()
	withoutTeams.Teams = nil
	for name, c := range map[string]struct {
		doc     *clusterconfig.Document
		route   clusterconfig.Route
		key     string
		want    string
		refused bool
	}{
		"first key":                {documentWithTeams(), closed, "k1", "crew", false},
		"second key":               {documentWithTeams(), closed, "k2", "crew", false},
		"unknown key":              {documentWithTeams(), closed, "k3", "", true},
		"no key":                   {documentWithTeams(), closed, "", "", true},
		"hash in place of the key": {documentWithTeams(), closed, string(Hash("k1")), "", true},
		"public, known key":        {documentWithTeams(), public, "k1", "crew", false},
		"public, unknown key":      {documentWithTeams(), public, "k3", "", false},
		"all teams removed":        {withoutTeams, closed, "k1", "", true},
		"no keys in use":           {withoutKeys, closed, "k1", "", false},
	} {
		got, err := Identify(c.doc, c.route, Hash(c.key))
		require.Equal(t, c.refused, errkind.Is(err, errkind.UnknownKey), name)
		require.Equal(t, c.want, got.Name, name)
		if err != nil {
			require.NotContains(t, err.Error(), "k3", "keys must not be shown")
		}
	}
}
