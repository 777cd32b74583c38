// Package pb holds the messages of a hand-over, generated from handover.proto.
package pb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=ferryfront.example/ferryfront internal/handover/pb/handover.proto
