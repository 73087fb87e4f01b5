//go:build race

package faultmatrix_test

// raceSlowdown divides the length of recorded histories. The stand-in's engine
// runs about ten times slower with the race detector.
const raceSlowdown = 3
