package wire

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"chervilreach/core/event"
	"chervilreach/io/wire/wirepb"
)

// FuzzRecv checks that Recv on arbitrary bytes ends with an error and returns no more frames
// than there are bytes. A length prefix above maxFrameBytes must not make it allocate that much.
func FuzzRecv(f *testing.F) {
	var valid bytes.Buffer
	for _, frame := range []*wirepb.Frame{
		{Hlc: 1, Body: &wirepb.Frame_Offer{Offer: &wirepb.Offer{RequestId: "r", Body: []byte("{}")}}},
		{Hlc: 1 << 63, Body: &wirepb.Frame_Data{Data: &wirepb.Data{Offset: 7, Payload: []byte("data: x\n\n")}}},
	} {
		if _, err := protodelim.MarshalTo(&valid, frame); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:valid.Len()-3])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := &Stream{
			conn: &Conn{transport: &Transport{clock: &event.Clock{}}},
			r:    bufio.NewReader(bytes.NewReader(raw)),
		}
		frames := 0
		for {
			if _, err := s.Recv(); err != nil {
				break
			}
			frames++
		}
		// Each frame has at least one byte: its length.
		if frames > len(raw) {
			t.Fatalf("%d frames in %d bytes", frames, len(raw))
		}
	})
}
