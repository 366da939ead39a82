//go:build wrong_forgets_bans

package sidecar

// forgetsBans makes a start lift every ban, in a program built wrong on purpose for the lab to find.
const forgetsBans = true
