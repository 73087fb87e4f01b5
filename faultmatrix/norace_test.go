//go:build !race

package faultmatrix_test

// raceSlowdown divides the length of recorded histories.
const raceSlowdown = 1
