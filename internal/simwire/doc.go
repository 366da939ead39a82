// Package simwire reads and writes the simulator's binary frames and settings
// text. It takes no decisions.
package simwire
