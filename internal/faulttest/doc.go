// Package faulttest holds tests in which several real processes of the ingress serve clients while faults are injected:
// signals, system calls that fail, a wall clock that is stepped, and connections that are stalled, cut, reset, slow or in
// pieces. It holds nothing but tests. Combinations are drawn by a seed, which each run prints; FERRYFRONT_FAULT_SEEDS=1-40
// runs so many of them in place of the few of the short form.
package faulttest
