package main

import "errors"

var errNotUpgraded = errors.New("an ingress was not upgraded in time")
