package httpwire

import (
	"errors"
	"strings"
	"testing"
)

// TestParseRequest has a case for each thing that a peer may send.
func TestParseRequest(t *testing.T) {
	long := strings.Repeat("x", MaxHeadBytes)
	cases := []struct {
		name, in string
		body     string
		method   string
		took     bool
		err      error
		last     bool
	}{
		{name: "get", in: "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", method: "GET", took: true},
		{name: "body by length", in: "POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", method: "POST", body: "{}", took: true},
		{name: "body incomplete", in: "POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\n{}"},
		{name: "head incomplete", in: "POST /work HTTP/1.1\r\nContent-Le"},
		{name: "chunks", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\nT: v\r\n\r\n", method: "POST", body: "{}", took: true},
		{name: "chunks incomplete", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{"},
		{name: "chunk without end", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{xx0\r\n\r\n", err: ErrMalformed},
		{name: "chunk size", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", err: ErrMalformed},
		{name: "chunks too large", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n", err: ErrTooLarge},
		{name: "length and chunks", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", err: ErrMalformed},
		{name: "two lengths", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", err: ErrMalformed},
		{name: "negative length", in: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", err: ErrMalformed},
		{name: "too large", in: "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", err: ErrTooLarge},
		{name: "no version", in: "GET /\r\n\r\n", err: ErrMalformed},
		{name: "not a path", in: "GET http HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "header without colon", in: "GET / HTTP/1.1\r\nabc\r\n\r\n", err: ErrMalformed},
		{name: "endless head", in: "GET / HTTP/1.1\r\nA: " + long, err: ErrMalformed},
		{name: "close", in: "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n", method: "GET", took: true, last: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m, n, err := ParseRequest([]byte(tc.in), 100)
			if !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if (n > 0) != tc.took {
				t.Fatalf("took %d", n)
			}
			if n > 0 && (m.Method != tc.method || string(m.Body) != tc.body || m.Close != tc.last || n != len(tc.in)) {
				t.Errorf("got %+v of %d", m, n)
			}
		})
	}
}

// FuzzParse checks that no input breaks the parser, and that a request that
// is complete is not complete one byte earlier.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, n, err := ParseRequest(in, 1000)
		if err == nil && n > 0 {
			if n > len(in) {
				t.Fatalf("took %d of %d", n, len(in))
			}
			if _, m, _ := ParseRequest(in[:n-1], 1000); m == n {
				t.Fatal("complete without its last byte")
			}
		}
		_, _, _ = ParseResponse(in, 1000)
	})
}

func BenchmarkParseRequest(b *testing.B) {
	in := []byte("POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
	for b.Loop() {
		if _, _, err := ParseRequest(in, 100); err != nil {
			b.Fatal(err)
		}
	}
}
