//go:build !mutant_forgets_bans

package mutant

// ForgetsBans makes a starting sidecar lift every ban.
const ForgetsBans = false
