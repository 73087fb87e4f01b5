//go:build race

package faultmatrix_test

// raceSlowdown divides the number of operations of recorded histories, because the
// SQL engine of the stand-in runs about ten times slower with the race detector.
const raceSlowdown = 3
