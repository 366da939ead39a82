package main

import (
	"testing"

	"bramblestand/review/casetest"
)

func TestLongRequestsAreAnswered(t *testing.T) { casetest.Run(t) }
