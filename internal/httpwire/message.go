// Package httpwire speaks HTTP/1.1: one parser for both directions, a server
// on evio's event loop, and a client with a bounded pool of connections.
package httpwire

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of what the parser takes before it gives up on a peer.
const (
	MaxHeadBytes = 16 << 10
	MaxHeaders   = 100
)

// Faults that the server answers with a status of their own.
var (
	ErrMalformed = errors.New("malformed http message")
	ErrTooLarge  = errors.New("http body too large")
)

// Header is one header line; Name is in lower case.
type Header struct{ Name, Value string }

// Message is a request or a response.
type Message struct {
	// Method and Target are set on requests.
	Method, Target string
	// Status is set on responses.
	Status  int
	Headers []Header
	Body    []byte
	// Close says that the connection ends after this message.
	Close bool
}

// Get returns the first header of the (lower case) name.
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// ParseRequest reads one request from the start of buf. It returns how many
// bytes it took, or 0 if the request is not complete yet.
func ParseRequest(buf []byte, maxBody int) (*Message, int, error) {
	return parse(buf, maxBody, false)
}

// ParseResponse is ParseRequest for answers.
func ParseResponse(buf []byte, maxBody int) (*Message, int, error) {
	return parse(buf, maxBody, true)
}

func parse(buf []byte, maxBody int, response bool) (*Message, int, error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > MaxHeadBytes {
			return nil, 0, fmt.Errorf("%w: head too long", ErrMalformed)
		}
		return nil, 0, nil
	}
	if end > MaxHeadBytes {
		return nil, 0, fmt.Errorf("%w: head too long", ErrMalformed)
	}
	head := string(buf[:end])
	line, rest, _ := strings.Cut(head, "\r\n")
	m := &Message{}
	version, err := parseStartLine(m, line, response)
	if err != nil {
		return nil, 0, err
	}
	m.Close = version == "HTTP/1.0"
	length, chunked := -1, false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") || len(m.Headers) >= MaxHeaders {
			return nil, 0, fmt.Errorf("%w: header line", ErrMalformed)
		}
		h := Header{strings.ToLower(name), strings.Trim(value, " \t")}
		m.Headers = append(m.Headers, h)
		switch h.Name {
		case "content-length":
			n, err := strconv.ParseUint(h.Value, 10, 31)
			if err != nil || (length >= 0 && length != int(n)) {
				return nil, 0, fmt.Errorf("%w: content-length", ErrMalformed)
			}
			length = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(h.Value, "chunked") {
				return nil, 0, fmt.Errorf("%w: transfer-encoding", ErrMalformed)
			}
			chunked = true
		case "connection":
			if strings.EqualFold(h.Value, "close") {
				m.Close = true
			}
		}
	}
	at := end + 4
	switch {
	case chunked && length >= 0:
		// Two lengths for one body are how requests get smuggled.
		return nil, 0, fmt.Errorf("%w: both length and chunks", ErrMalformed)
	case chunked:
		body, n, err := parseChunks(buf[at:], maxBody)
		if err != nil || n == 0 {
			return nil, 0, err
		}
		m.Body = body
		return m, at + n, nil
	case length > maxBody:
		return nil, 0, ErrTooLarge
	case length > 0:
		if len(buf) < at+length {
			return nil, 0, nil
		}
		m.Body = append([]byte(nil), buf[at:at+length]...)
		return m, at + length, nil
	}
	return m, at, nil
}

func parseStartLine(m *Message, line string, response bool) (version string, err error) {
	f := strings.SplitN(line, " ", 3)
	if response {
		if len(f) < 2 || !strings.HasPrefix(f[0], "HTTP/1.") {
			return "", fmt.Errorf("%w: status line", ErrMalformed)
		}
		m.Status, err = strconv.Atoi(f[1])
		if err != nil || m.Status < 100 || m.Status > 599 {
			return "", fmt.Errorf("%w: status", ErrMalformed)
		}
		return f[0], nil
	}
	if len(f) != 3 || f[0] == "" || !strings.HasPrefix(f[1], "/") || (f[2] != "HTTP/1.1" && f[2] != "HTTP/1.0") {
		return "", fmt.Errorf("%w: request line", ErrMalformed)
	}
	m.Method, m.Target = f[0], f[1]
	return f[2], nil
}

// parseChunks decodes a chunked body; n is 0 while it is incomplete.
func parseChunks(buf []byte, maxBody int) (body []byte, n int, err error) {
	for {
		eol := bytes.Index(buf[n:], []byte("\r\n"))
		if eol < 0 {
			if len(buf)-n > 1024 {
				return nil, 0, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			return nil, 0, nil
		}
		digits, _, _ := strings.Cut(string(buf[n:n+eol]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: chunk size", ErrMalformed)
		}
		n += eol + 2
		if size == 0 {
			return parseTrailer(buf, body, n)
		}
		if len(body)+int(size) > maxBody {
			return nil, 0, ErrTooLarge
		}
		if len(buf) < n+int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, buf[n:n+int(size)]...)
		n += int(size)
		if buf[n] != '\r' || buf[n+1] != '\n' {
			return nil, 0, fmt.Errorf("%w: chunk end", ErrMalformed)
		}
		n += 2
	}
}

func parseTrailer(buf, body []byte, n int) ([]byte, int, error) {
	for {
		eol := bytes.Index(buf[n:], []byte("\r\n"))
		switch {
		case eol == 0:
			return body, n + 2, nil
		case eol < 0 && len(buf)-n > MaxHeadBytes:
			return nil, 0, fmt.Errorf("%w: trailer", ErrMalformed)
		case eol < 0:
			return nil, 0, nil
		}
		n += eol + 2
	}
}

// AppendRequest writes a request.
func AppendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if body != nil {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// Response is what a handler answers. RetryAfter is in seconds, 0 for none.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int
	Allow      string
	// ContentType is JSON's if it is empty.
	ContentType string
	Close       bool
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	503: "Service Unavailable",
}

// AppendResponse writes a response.
func AppendResponse(b []byte, r Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[r.Status]...)
	b = append(b, "\r\nContent-Type: "...)
	b = append(b, cmp.Or(r.ContentType, "application/json")...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	if r.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(r.RetryAfter), 10)
	}
	if r.Allow != "" {
		b = append(b, "\r\nAllow: "...)
		b = append(b, r.Allow...)
	}
	if r.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}
