package membership

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Limits of a push/pull, in bytes.
const (
	maxPushPullHeaderSize = 256 // before the members' states
	maxStateSize          = 400 // one member's state
)

// pushPullHeader precedes the members' states. Its fields have the names that memberlist encodes.
type pushPullHeader struct {
	Nodes        int // number of states
	UserStateLen int // bytes of user state after the members' states
	Join         bool
}

// readStreamMessage reads the only message of a stream, which is a push/pull of
// at most maxMembers states or an error. It checks the whole message and returns
// its bytes.
func readStreamMessage(r io.Reader, maxMembers int, report reportFunc) ([]byte, error) {
	var message bytes.Buffer
	limited := io.LimitReader(r, int64(maxPushPullHeaderSize+maxMembers*maxStateSize))
	in := bufio.NewReader(io.TeeReader(limited, &message))
	kind, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	decoder := codec.NewDecoder(in, &codec.MsgpackHandle{})
	switch kind {
	case msgErr:
		var text struct{ Error string }
		if err := decoder.Decode(&text); err != nil {
			return nil, fmt.Errorf("error: %w", err)
		}
	case msgPushPull:
		if err := checkPushPull(decoder, maxMembers, report); err != nil {
			return nil, fmt.Errorf("push/pull: %w", err)
		}
	default:
		return nil, fmt.Errorf("type %d is neither a push/pull nor an error", kind)
	}
	return message.Bytes(), nil
}

// checkPushPull checks the header and the members' states, which follow the type byte.
func checkPushPull(decoder *codec.Decoder, maxMembers int, report reportFunc) error {
	var header pushPullHeader
	if err := decoder.Decode(&header); err != nil {
		return err
	}
	if header.Nodes < 0 || header.Nodes > maxMembers || header.UserStateLen != 0 {
		return fmt.Errorf("%d states (at most %d) and %d bytes of user state (at most 0)", header.Nodes, maxMembers, header.UserStateLen)
	}
	for i := range header.Nodes {
		var m wireMessage
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("state %d: %w", i, err)
		}
		if err := checkMemberState(m, m.Name, report); err != nil {
			return fmt.Errorf("state %d: %w", i, err)
		}
	}
	return nil
}
