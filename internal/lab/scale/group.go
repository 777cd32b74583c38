package scale

import "errors"

var errNoGroup = errors.New("agreement by a control group is not built in")

// killLeader kills the leader of the control group.
func (f *fleet) killLeader() error { return errNoGroup }

// killGroup kills all replicas of the control group.
func (f *fleet) killGroup() error { return errNoGroup }

// startGroup starts all replicas again.
func (f *fleet) startGroup() error { return errNoGroup }
