package wire

import (
	"bytes"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"chervilreach/core/event"
	"chervilreach/io/wire/wirepb"
)

// Guards against the end of a connection or a stream between router and agent within a frame, or between two
// frames, that is taken for the end of an answer.
func TestAnswerCutAtEachByte(t *testing.T) {
	var text bytes.Buffer
	for _, f := range []*wirepb.Frame{
		{Body: &wirepb.Frame_Ack{Ack: &wirepb.Ack{}}},
		{Body: &wirepb.Frame_Data{Data: &wirepb.Data{Payload: bytes.Repeat([]byte("x"), 200), Status: 200}}},
		{Body: &wirepb.Frame_End{End: &wirepb.End{Chunks: 1}}},
	} {
		_, err := protodelim.MarshalTo(&text, f)
		require.NoError(t, err)
	}
	for name, closeAll := range map[string]bool{"stream": false, "connection": true} {
		t.Run(name, func(t *testing.T) {
			for cut := range text.Len() {
				near, far := net.Pipe()
				server, err := yamux.Server(far, sessionConfig())
				require.NoError(t, err)
				session, err := yamux.Client(newCork(near), sessionConfig())
				require.NoError(t, err)
				c := newConn(NewTransport(stubSelf{}, &event.Clock{}, helloHandler{}), session)
				s, err := c.Open()
				require.NoError(t, err)
				raw, err := server.AcceptStream()
				require.NoError(t, err)
				go func() {
					_, _ = raw.Write(text.Bytes()[:cut])
					if closeAll {
						_ = far.Close()
						return
					}
					_ = raw.Close()
				}()
				for err == nil {
					var f *wirepb.Frame
					var chunks []*wirepb.Data
					chunks, f, err = s.RecvData(1 << 20)
					assert.Nil(t, f.GetEnd(), "after %d bytes", cut)
					for _, chunk := range chunks {
						assert.Len(t, chunk.GetPayload(), 200, "after %d bytes", cut)
					}
				}
				_ = c.Close()
				_ = server.Close()
			}
		})
	}
}
