// Package mutant holds switches that build deliberate faults into a program, so that a test can show that the fault lab
// detects them. Each switch is a constant that a build tag sets to true. In a program built without the tag it is false, and
// the compiler leaves out the faulty code.
package mutant
