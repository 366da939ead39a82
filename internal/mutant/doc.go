// Package mutant holds the switches of programs that are built wrong on purpose, so that a test can show that the fault lab
// finds the fault. Each switch is a constant that a build tag turns on; in a program built without the tag it is false and
// the compiler leaves the faulty code out.
package mutant
