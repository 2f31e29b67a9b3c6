package wire

// optional converts the value that a pointer points to. It returns nil for nil.
func optional[A, B any](in *A, convert func(A) B) *B {
	if in == nil {
		return nil
	}
	out := convert(*in)
	return &out
}

// convertAll converts the elements of a slice. It returns nil for nil.
func convertAll[A, B any](in []A, convert func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, element := range in {
		out[i] = convert(element)
	}
	return out
}
