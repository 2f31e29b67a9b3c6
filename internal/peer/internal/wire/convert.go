package wire

// optional maps what a pointer points to; nil stays nil.
func optional[A, B any](in *A, convert func(A) B) *B {
	if in == nil {
		return nil
	}
	out := convert(*in)
	return &out
}

// each maps the elements of a slice; nil stays nil.
func each[A, B any](in []A, convert func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, element := range in {
		out[i] = convert(element)
	}
	return out
}
