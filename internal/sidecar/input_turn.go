package sidecar

import "errors"

// turnBytes is how much input of one client is read in one turn.
const turnBytes = 32 << 10

// errTurnOver is the error of a read that has to wait for the client's next turn. It is not passed on to net/http.
var errTurnOver = errors.New("the client's turn is over")

// inputTurn is a client's turn of the processor. What is done for a client follows from its input, so a turn is limited by what is read:
// one request, or turnBytes of one. A turn ends as well when the client has sent nothing more, since the wait for input lets others run. The
// zero value is a new turn.
type inputTurn struct {
	bytes   int  // read in this turn
	hasHead bool // the end of a head was read in this turn
}

// add counts input that was read. hasHead reports whether it ends a head.
func (t *inputTurn) add(bytes int, hasHead bool) {
	t.bytes += bytes
	t.hasHead = t.hasHead || hasHead
}

// isOver reports whether the client has to wait for its next turn before it may go on. isInBody says that the next input belongs to the
// request whose head was read in this turn.
func (t *inputTurn) isOver(isInBody bool) bool {
	return t.bytes >= turnBytes || t.hasHead && !isInBody
}
