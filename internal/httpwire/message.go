// Package httpwire implements HTTP/1.1: a parser for requests and responses, a server
// on evio's event loop, and a client with a bounded pool of connections.
package httpwire

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Limits of the parser for one message.
const (
	MaxHeadBytes = 16 << 10
	MaxHeaders   = 100
	// maxChunkLine is the maximum length of the line before a chunk, in bytes.
	maxChunkLine = 1024
)

// Terminators of a line and of a message's head.
const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
)

// Range of valid response statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// Parse errors. The server answers each with its own status.
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
	// Close means that the connection is closed after this message.
	Close bool
}

// Get returns the value of the first header with the name, which must be in lower case,
// or "" if there is none.
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// ParseRequest parses one request at the start of buf. It returns the length of the
// request in bytes, or 0 if the request is not complete yet.
func ParseRequest(buf []byte, maxBody int) (*Message, int, error) {
	return parse(buf, maxBody, false)
}

// ParseResponse parses one response like ParseRequest parses a request.
func ParseResponse(buf []byte, maxBody int) (*Message, int, error) {
	return parse(buf, maxBody, true)
}

func parse(buf []byte, maxBody int, response bool) (*Message, int, error) {
	headLength := bytes.Index(buf, []byte(headEnd))
	switch {
	case headLength > MaxHeadBytes || headLength < 0 && len(buf) > MaxHeadBytes:
		return nil, 0, fmt.Errorf("%w: head too long", ErrMalformed)
	case headLength < 0:
		return nil, 0, nil
	}
	m := &Message{}
	framing, err := parseHead(m, string(buf[:headLength]), response)
	if err != nil {
		return nil, 0, err
	}
	bodyStart := headLength + len(headEnd)
	body, bodyLength, complete, err := framing.parseBody(buf[bodyStart:], maxBody)
	if err != nil || !complete {
		return nil, 0, err
	}
	m.Body = body
	return m, bodyStart + bodyLength, nil
}

// framing describes how the end of the body is determined: by its length or by chunked
// encoding. A message with neither has no body.
type framing struct {
	hasLength bool
	length    int
	chunked   bool
}

// parseHead parses the start line and the headers into m.
func parseHead(m *Message, head string, response bool) (framing, error) {
	var f framing
	line, rest, _ := strings.Cut(head, lineEnd)
	version, err := parseStartLine(m, line, response)
	if err != nil {
		return f, err
	}
	m.Close = version == "HTTP/1.0"
	for rest != "" {
		line, rest, _ = strings.Cut(rest, lineEnd)
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") || len(m.Headers) >= MaxHeaders {
			return f, fmt.Errorf("%w: header line", ErrMalformed)
		}
		header := Header{Name: strings.ToLower(name), Value: strings.Trim(value, " \t")}
		m.Headers = append(m.Headers, header)
		if err := f.applyHeader(m, header); err != nil {
			return f, err
		}
	}
	if f.chunked && f.hasLength {
		// A body with two lengths allows request smuggling.
		return f, fmt.Errorf("%w: both length and chunks", ErrMalformed)
	}
	return f, nil
}

// applyHeader evaluates a header that determines the end of the body or that closes the
// connection. It ignores other headers.
func (f *framing) applyHeader(m *Message, header Header) error {
	switch header.Name {
	case "content-length":
		length, err := strconv.ParseUint(header.Value, 10, 31)
		if err != nil || f.hasLength && f.length != int(length) {
			return fmt.Errorf("%w: content-length", ErrMalformed)
		}
		f.hasLength, f.length = true, int(length)
	case "transfer-encoding":
		if !strings.EqualFold(header.Value, "chunked") {
			return fmt.Errorf("%w: transfer-encoding", ErrMalformed)
		}
		f.chunked = true
	case "connection":
		if strings.EqualFold(header.Value, "close") {
			m.Close = true
		}
	}
	return nil
}

// parseBody parses the body from the bytes after the head. It returns the body's length
// on the wire in bytes and whether the body is complete.
func (f *framing) parseBody(buf []byte, maxBody int) (body []byte, length int, complete bool, err error) {
	switch {
	case f.chunked:
		body, length, err = parseChunks(buf, maxBody)
		return body, length, length > 0, err
	case f.length > maxBody:
		return nil, 0, false, ErrTooLarge
	case f.length == 0:
		return nil, 0, true, nil
	case len(buf) < f.length:
		return nil, 0, false, nil
	}
	return bytes.Clone(buf[:f.length]), f.length, true, nil
}

func parseStartLine(m *Message, line string, response bool) (version string, err error) {
	if response {
		return parseStatusLine(m, line)
	}
	return parseRequestLine(m, line)
}

func parseStatusLine(m *Message, line string) (version string, err error) {
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/1.") {
		return "", fmt.Errorf("%w: status line", ErrMalformed)
	}
	m.Status, err = strconv.Atoi(fields[1])
	if err != nil || m.Status < minStatus || m.Status > maxStatus {
		return "", fmt.Errorf("%w: status", ErrMalformed)
	}
	return fields[0], nil
}

func parseRequestLine(m *Message, line string) (version string, err error) {
	fields := strings.SplitN(line, " ", 3)
	if len(fields) != 3 || fields[0] == "" || !strings.HasPrefix(fields[1], "/") {
		return "", fmt.Errorf("%w: request line", ErrMalformed)
	}
	method, target, version := fields[0], fields[1], fields[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", fmt.Errorf("%w: request line", ErrMalformed)
	}
	m.Method, m.Target = method, target
	return version, nil
}

// parseChunks decodes a chunked body. It returns the body's length on the wire in bytes,
// or 0 if the body is not complete yet.
func parseChunks(buf []byte, maxBody int) (body []byte, n int, err error) {
	for {
		eol := bytes.Index(buf[n:], []byte(lineEnd))
		if eol < 0 {
			if len(buf)-n > maxChunkLine {
				return nil, 0, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			return nil, 0, nil
		}
		digits, _, _ := strings.Cut(string(buf[n:n+eol]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: chunk size", ErrMalformed)
		}
		n += eol + len(lineEnd)
		if size == 0 {
			return parseTrailer(buf, body, n)
		}
		if len(body)+int(size) > maxBody {
			return nil, 0, ErrTooLarge
		}
		if len(buf) < n+int(size)+len(lineEnd) {
			return nil, 0, nil
		}
		body = append(body, buf[n:n+int(size)]...)
		n += int(size)
		if !bytes.HasPrefix(buf[n:], []byte(lineEnd)) {
			return nil, 0, fmt.Errorf("%w: chunk end", ErrMalformed)
		}
		n += len(lineEnd)
	}
}

// parseTrailer skips the headers after the last chunk, from position n on. It returns
// the body and the position after the trailer, or 0 if the trailer is not complete yet.
func parseTrailer(buf, body []byte, n int) ([]byte, int, error) {
	for {
		eol := bytes.Index(buf[n:], []byte(lineEnd))
		switch {
		case eol == 0:
			return body, n + len(lineEnd), nil
		case eol < 0 && len(buf)-n > MaxHeadBytes:
			return nil, 0, fmt.Errorf("%w: trailer", ErrMalformed)
		case eol < 0:
			return nil, 0, nil
		}
		n += eol + len(lineEnd)
	}
}

// AppendRequest appends an encoded request to b.
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

// Response is a handler's response.
type Response struct {
	Status int
	Body   []byte
	// RetryAfter is the value of the Retry-After header in seconds, or 0 for no header.
	RetryAfter int
	Allow      string
	// ContentType defaults to application/json if it is empty.
	ContentType string
	Close       bool
}

// reasonPhrase returns the reason phrase of a status, or "" for a status that no handler
// uses.
func reasonPhrase(status int) string {
	switch status {
	case http.StatusOK:
		return "OK"
	case http.StatusCreated:
		return "Created"
	case http.StatusBadRequest:
		return "Bad Request"
	case http.StatusNotFound:
		return "Not Found"
	case http.StatusMethodNotAllowed:
		return "Method Not Allowed"
	case http.StatusRequestEntityTooLarge:
		return "Content Too Large"
	case http.StatusMisdirectedRequest:
		return "Misdirected Request"
	case http.StatusUnprocessableEntity:
		return "Unprocessable Content"
	case http.StatusTooManyRequests:
		return "Too Many Requests"
	case http.StatusServiceUnavailable:
		return "Service Unavailable"
	default:
		return ""
	}
}

// AppendResponse appends an encoded response to b.
func AppendResponse(b []byte, r Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrase(r.Status)...)
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
