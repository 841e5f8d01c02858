package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// The decoders must not allocate as much as a peer's message claims to hold, and must not panic on malformed bytes.
func FuzzDecodeViews(f *testing.F) {
	v := View{Service: "s", Term: 2, Primary: "m", Version: 7, Members: []MemberView{{Name: "m", Known: true, Status: platform.Status{Member: "m"}}}}
	body, err := EncodeLookupAnswer(v, 0)
	require.NoError(f, err)
	f.Add(body)
	r := RelayedView{}
	body, err = r.Encode()
	require.NoError(f, err)
	f.Add(body)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("\x82\xa1m\xdd\xba\xcb\xcb\xcb\xcb"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _, _ = DecodeLookupAnswer(body, v)
		_, _ = DecodeRelayedView(body)
	})
}
