package main

import (
	"testing"

	"bramblestand/review/casetest"
)

func TestEndlessAnswersAreEnded(t *testing.T) { casetest.Run(t) }
