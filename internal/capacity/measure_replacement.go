package capacity

// replacementMeasurers measure machines that fail, restart or are replaced.
func replacementMeasurers() []Measurer { return nil }
