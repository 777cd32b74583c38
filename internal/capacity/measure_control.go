package capacity

// controlMachineMeasurers measure the machines set aside for control.
func controlMachineMeasurers() []Measurer { return nil }
