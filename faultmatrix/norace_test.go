//go:build !race

package faultmatrix_test

// raceSlowdown divides the number of operations of recorded histories.
const raceSlowdown = 1
