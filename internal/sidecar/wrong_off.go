//go:build !wrong_forgets_bans

package sidecar

// forgetsBans is true in a program built wrong on purpose, for the lab to find.
const forgetsBans = false
