package httpwire

import (
	"errors"
	"strings"
	"testing"
)

// TestParseRequest checks complete, incomplete, malformed and oversized requests.
func TestParseRequest(t *testing.T) {
	long := strings.Repeat("x", MaxHeadBytes)
	cases := []struct {
		name, in string
		body     string
		method   string
		complete bool
		err      error
		close    bool
	}{
		{name: "get", in: "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", method: "GET", complete: true},
		{name: "body by length", in: "POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", method: "POST", body: "{}", complete: true},
		{name: "body incomplete", in: "POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\n{}"},
		{name: "head incomplete", in: "POST /work HTTP/1.1\r\nContent-Le"},
		{name: "chunks", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\nT: v\r\n\r\n", method: "POST", body: "{}", complete: true},
		{name: "chunks incomplete", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{"},
		{name: "chunk without line end", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{xx0\r\n\r\n", err: ErrMalformed},
		{name: "invalid chunk size", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", err: ErrMalformed},
		{name: "chunks too large", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n", err: ErrTooLarge},
		{name: "length and chunks", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", err: ErrMalformed},
		{name: "two lengths", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", err: ErrMalformed},
		{name: "negative length", in: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", err: ErrMalformed},
		{name: "body too large", in: "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", err: ErrTooLarge},
		{name: "no version", in: "GET /\r\n\r\n", err: ErrMalformed},
		{name: "target is not a path", in: "GET http HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "header without colon", in: "GET / HTTP/1.1\r\nabc\r\n\r\n", err: ErrMalformed},
		{name: "head too long", in: "GET / HTTP/1.1\r\nA: " + long, err: ErrMalformed},
		{name: "connection close", in: "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n", method: "GET", complete: true, close: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m, n, err := ParseRequest([]byte(tc.in), 100)
			if !errors.Is(err, tc.err) {
				t.Fatalf("got error %v, want %v", err, tc.err)
			}
			if (n > 0) != tc.complete {
				t.Fatalf("got length %d, want complete %v", n, tc.complete)
			}
			if n > 0 && (m.Method != tc.method || string(m.Body) != tc.body || m.Close != tc.close || n != len(tc.in)) {
				t.Errorf("got %+v of length %d, want method %s, body %q, close %v and length %d", m, n, tc.method, tc.body, tc.close, len(tc.in))
			}
		})
	}
}

// FuzzParse checks that no input makes the parser panic, and that a request is not longer
// than the input, also if the last byte of a complete request is missing.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, n, err := ParseRequest(in, 1000)
		if err == nil && n > 0 {
			if n > len(in) {
				t.Fatalf("got length %d, want at most the input's length %d", n, len(in))
			}
			if _, truncated, _ := ParseRequest(in[:n-1], 1000); truncated == n {
				t.Fatalf("request of %d bytes without its last byte: got length %d, want less", n, truncated)
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
