package capacity

// ingressControlMeasurers measure an ingress following the control plane.
func ingressControlMeasurers() []Measurer { return nil }
