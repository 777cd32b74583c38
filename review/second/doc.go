// Package second holds the test that runs the cases of the second review, behind the build tag review2:
//
//	go test -count=1 -tags review2 -timeout 20m ./review/second
//
// It needs the build of deploy/balancer.toml and review/build-2.sh.
package second
