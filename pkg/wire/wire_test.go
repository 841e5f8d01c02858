package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

var sampleVM = platform.VM{Name: "vm-1", DataCentre: "zg-a", Region: "zagreb", PeerAddr: "127.0.0.1:1",
	AdminAddr: "127.0.0.1:2", State: platform.VMLive}

func sampleExecute() *Execute {
	return &Execute{ID: 1 << 40, Window: 65536, Deadline: 30 * time.Millisecond, Unit: unit.Unit{
		Service: "orders-db.1", Member: "orders-db.1-a", Class: "order", Rank: unit.RankBatch, Write: true,
		Repeatable: true, Begin: true, Target: 50 * time.Millisecond, MaxAge: unit.LimitAge(time.Second),
		Require: unit.Requirement{Term: 3, Position: 1 << 33}, ConfirmPrimary: true, IdempotencyKey: "k-1",
		Messages: []byte("messages"), Statements: []unit.Statement{{Name: "s1", Parse: []byte("parse")}},
		Values: []unit.Value{{Name: "v", Value: "1"}, {Name: "w", Value: ""}},
		Tx:     unit.TxRef{VM: "vm-1", Member: "m", ID: 5},
	}}
}

// sampleFrames returns one complete frame of each kind.
func sampleFrames(t testing.TB) [][]byte {
	e := NewEncoder()
	var out [][]byte
	add := func(head []byte, err error) func(payload []byte) {
		require.NoError(t, err)
		head = bytes.Clone(head)
		return func(payload []byte) { out = append(out, append(head, payload...)) }
	}
	add(e.Hello(Hello{VM: sampleVM, Cluster: "c", Instance: 9, Purpose: PurposeControl, ConfigVersion: 1 << 31}))(nil)
	add(e.Refuse(errkind.New(errkind.Draining, "leaving")))(nil)
	add(e.Empty(TypePing))(nil)
	head, payload, err := e.Execute(sampleExecute())
	add(head, err)(payload)
	add(e.Chunk(7, []byte("chunk")))([]byte("chunk"))
	add(e.Credit(7, 1000))(nil)
	add(e.Cancel(7))(nil)
	add(e.Rollback(unit.TxRef{VM: "v", Member: "m", ID: 4}))(nil)
	add(e.Result(7, &unit.Result{Outcome: errkind.OutcomeNotRun, Err: errkind.New(errkind.Overload, "full"), Term: 2,
		Position: 3, TxStatus: 'E', Tx: unit.TxRef{VM: "v", Member: "m", ID: 4}, Streamed: true, Replica: true}))(nil)
	add(e.Request(TypeViewRequest, 8, []byte("body")))([]byte("body"))
	add(e.Reply(8, nil, []byte("view")))([]byte("view"))
	return out
}

// FrameBuffered must not report a frame of which a part is still missing. Otherwise Next would wait for the rest, and
// the calls that wait for the frames before it would not be notified meanwhile.
func TestComplete(t *testing.T) {
	all := sampleFrames(t)
	stream := bytes.Join(all, nil)
	for missing := range all[len(all)-1] {
		r := NewReader(bytes.NewReader(stream[:len(stream)-missing]))
		require.False(t, r.FrameBuffered(), "the reader has buffered nothing yet")
		for i := range all[:len(all)-1] {
			_, err := r.Next()
			require.NoError(t, err)
			require.Equal(t, i < len(all)-2 || missing == 0, r.FrameBuffered(), "frame %d, %d bytes missing", i, missing)
		}
	}
}

// Guards against fields that are lost or swapped between encoding and decoding.
func TestRoundTrip(t *testing.T) {
	r := NewReader(bytes.NewReader(bytes.Join(sampleFrames(t), nil)))
	d := NewDecoder()
	next := func(want Type) []byte {
		f, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, want, f.Type)
		return f.Body
	}
	h, err := d.Hello(next(TypeHello))
	require.NoError(t, err)
	require.Equal(t, Hello{VM: sampleVM, Cluster: "c", Instance: 9, Purpose: PurposeControl, ConfigVersion: 1 << 31}, h)
	require.True(t, errkind.Is(d.Refuse(next(TypeRefuse)), errkind.Draining))
	require.Len(t, next(TypePing), 1)
	x, err := d.Execute(next(TypeExecute))
	require.NoError(t, err)
	require.Equal(t, sampleExecute(), x)
	id, chunk, err := d.Chunk(next(TypeChunk))
	require.NoError(t, err)
	require.EqualValues(t, 7, id)
	require.Equal(t, "chunk", string(chunk))
	_, n, err := d.Credit(next(TypeCredit))
	require.NoError(t, err)
	require.EqualValues(t, 1000, n)
	id, err = d.Cancel(next(TypeCancel))
	require.NoError(t, err)
	require.EqualValues(t, 7, id)
	tx, err := d.Rollback(next(TypeRollback))
	require.NoError(t, err)
	require.Equal(t, unit.TxRef{VM: "v", Member: "m", ID: 4}, tx)
	_, res, err := d.Result(next(TypeResult))
	require.NoError(t, err)
	require.True(t, errkind.Is(res.Err, errkind.Overload))
	res.Err = nil
	require.Equal(t, unit.Result{Outcome: errkind.OutcomeNotRun, Term: 2, Position: 3, TxStatus: 'E', Tx: tx,
		Streamed: true, Replica: true}, res)
	id, body, err := d.Request(next(TypeViewRequest))
	require.NoError(t, err)
	require.EqualValues(t, 8, id)
	require.Equal(t, "body", string(body))
	_, body, failure, err := d.Reply(next(TypeReply))
	require.NoError(t, err)
	require.NoError(t, failure)
	require.Equal(t, "view", string(body))
	_, err = r.Next()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against control messages that lose fields.
func TestControlRoundTrip(t *testing.T) {
	e, d := NewEncoder(), NewDecoder()
	want := Heartbeat{Draining: true, ConfigVersion: 12, ConfigHash: 1 << 31, Owned: 4, Waiting: 5, Digest: 6, Seen: 7,
		Sections: []Section{{DataCentre: "zg-a", VMs: []VMStatus{{VM: sampleVM, Draining: true}}}}}
	delta := Heartbeat{Seen: 7, TakesDelta: true, Delta: Delta{Base: 1 << 31, Sections: []SectionDelta{
		{DataCentre: "zg-a", Changed: []VMStatus{{VM: sampleVM}}, Removed: []string{"v"}}, {DataCentre: "st-a", Dropped: true}}}}
	for _, want := range []Heartbeat{want, delta, {TakesDelta: true}} { // the first as a version without deltas encodes it
		body, err := e.HeartbeatBody(&want)
		require.NoError(t, err)
		got, err := d.Heartbeat(body)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	body, _ := e.ConfigReplyBody(ConfigReply{Version: 3, Document: []byte("{}"), Known: 4, TurnedAway: true, AgesStated: true, AllRoutes: true, Packed: []byte("x")})
	c, err := d.ConfigReply(body)
	require.NoError(t, err)
	require.Equal(t, ConfigReply{Version: 3, Document: []byte("{}"), Known: 4, TurnedAway: true, AgesStated: true, AllRoutes: true, Packed: []byte("x")}, c)
	for _, want := range []ViewRequest{{Service: "s"}, {Service: "s", Relay: true}, {Service: "s", Relay: true, Seen: 1 << 31},
		{Service: "s", Have: 1 << 31}} {
		body, _ = e.ViewRequestBody(want)
		v, err := d.ViewRequest(body)
		require.NoError(t, err)
		require.Equal(t, want, v)
	}
	body, _ = e.CancelKeyBody(CancelKey{VM: "v", PID: 1 << 31, Secret: []byte{1, 2}})
	k, err := d.CancelKey(body)
	require.NoError(t, err)
	require.Equal(t, CancelKey{VM: "v", PID: 1 << 31, Secret: []byte{1, 2}}, k)
}

// A frame that claims to be large must not make the daemon allocate that memory, and a peer of another protocol version
// must be rejected.
func TestReaderRejects(t *testing.T) {
	head := func(n uint32, version byte) io.Reader {
		b := binary.BigEndian.AppendUint32(nil, n)
		return bytes.NewReader(append(b, version, byte(TypeExecute)))
	}
	r := NewReader(head(MaxFrame+1, Version))
	r.SetLimit(1 << 30)
	_, err := r.Next()
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = NewReader(head(MaxHandshakeFrame+1, Version)).Next()
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = NewReader(head(1, Version)).Next()
	require.ErrorIs(t, err, ErrTooShort)
	_, err = NewReader(head(10, Version+1)).Next()
	require.ErrorIs(t, err, ErrVersion)
	_, err = NewEncoder().Chunk(1, make([]byte, MaxFrame))
	require.ErrorIs(t, err, ErrTooLarge)
}

// decodeAll reads the frames of data up to the first one that Reader rejects, and decodes each as several types.
func decodeAll(data []byte) {
	r, d := NewReader(bytes.NewReader(data)), NewDecoder()
	r.SetLimit(MaxFrame)
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		_, _ = d.Hello(f.Body)
		_ = d.Refuse(f.Body)
		_, _ = d.Execute(f.Body)
		_, _, _ = d.Chunk(f.Body)
		_, _, _ = d.Result(f.Body)
		_, _, _, _ = d.Reply(f.Body)
		_, _ = d.Heartbeat(f.Body)
		_, _ = d.CancelKey(f.Body)
		f.Release()
	}
}

// Guards against received bytes that crash the daemon.
func FuzzDecode(f *testing.F) {
	for _, b := range sampleFrames(f) {
		f.Add(b)
	}
	f.Add([]byte{0, 0, 0, 7, Version, byte(TypeChunk), 0x92, 0x01, 0xc6, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 7, Version, byte(TypeHeartbeat), 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) { decodeAll(data) })
}

func BenchmarkExecuteEncode(b *testing.B) {
	e, x := NewEncoder(), sampleExecute()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := e.Execute(x); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkExecuteDecode(b *testing.B) {
	head, payload, _ := NewEncoder().Execute(sampleExecute())
	body := append(head, payload...)[headerBytes:]
	d := NewDecoder()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Execute(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChunk(b *testing.B) {
	e, d, payload := NewEncoder(), NewDecoder(), make([]byte, 8<<10)
	head, _ := e.Chunk(1, payload)
	stream := append(bytes.Clone(head), payload...)
	src := bytes.NewReader(stream)
	r := NewReader(src)
	r.SetLimit(MaxFrame)
	b.SetBytes(int64(len(stream)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Chunk(1, payload); err != nil {
			b.Fatal(err)
		}
		src.Reset(stream)
		f, err := r.Next()
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := d.Chunk(f.Body); err != nil {
			b.Fatal(err)
		}
		f.Release()
	}
}

// Guards against lists that differ after encoding and decoding, and against a decoder that crashes on malformed bytes or
// reports them as anything but ErrMalformed.
func FuzzLists(f *testing.F) {
	l := Lists{VMs: []platform.VM{{Name: "a", DataCentre: "d", Region: "r", PeerAddr: "10.0.0.1:7000", State: platform.VMLive}},
		Services: []platform.Service{{Name: "s", Database: "b", Members: []platform.Member{{Name: "m", Slots: 2, Leaving: true}}}},
		Version:  1 << 40, Base: 7, Removed: []string{"gone"}}
	body, err := l.Encode()
	require.NoError(f, err)
	got, err := DecodeLists(body)
	require.NoError(f, err)
	require.Equal(f, l, got)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := DecodeLists(body); err != nil {
			require.ErrorIs(t, err, ErrMalformed)
		}
	})
}

// A message that is nested more deeply than any that a daemon sends must be refused: the msgpack library decodes by recursion,
// and a stack that outgrows the limit of the runtime ends the process.
func TestNestedMessagesAreRefused(t *testing.T) {
	nested := append(bytes.Repeat([]byte{0x91}, MaxFrame/2), 0xc0)
	var v struct{ A int }
	unknownField := append([]byte{0x81, 0xa1, 'x'}, nested...)
	require.ErrorIs(t, Unmarshal(unknownField, &v), ErrMalformed)
	_, err := DecodeLists(append([]byte{0x01}, unknownField...))
	require.ErrorIs(t, err, ErrMalformed)
	require.NoError(t, Unmarshal([]byte{0x82, 0xa1, 'A', 0x07, 0xa1, 'x', 0x92, 0x91, 0xc0, 0x80}, &v), "unknown fields are passed over")
	require.Equal(t, 7, v.A)
}
