package forward

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrInvalidResponse means that a backend server sent bytes that are no HTTP/1.1 response.
var ErrInvalidResponse = errors.New("the bytes of the backend server are no response")

func invalidResponse(reason string) error { return fmt.Errorf("%w: %s", ErrInvalidResponse, reason) }

var (
	errInvalidStatusLine  = invalidResponse("invalid status line")
	errInvalidStatus      = invalidResponse("status outside 100 to 599")
	errInvalidFieldName   = invalidResponse("invalid field name")
	errFoldedLine         = invalidResponse("obsolete line folding")
	errInvalidLength      = invalidResponse("invalid length")
	errAmbiguousLength    = invalidResponse("length and transfer coding together")
	errCodingInOldVersion = invalidResponse("transfer coding in HTTP/1.0")
	errInvalidTrailer     = invalidResponse("invalid name of a trailer")
	errLongLine           = invalidResponse("line of the head too long")
)

// headCheck checks the head of a response, interim responses included, before net/http reads it.
// net/http accepts any status of three characters that form a number, blanks in field names, folded
// lines, and a length next to a transfer coding. It does refuse control bytes in field values and
// lengths that differ. The zero value expects a status line.
type headCheck struct {
	// done is set after the head of the final response.
	done bool
	// inFields is set after a status line, interim if that was one of an interim response.
	inFields, interim bool
	// oldVersion, hasLength and hasCoding are what the current head has: version HTTP/1.0, a
	// Content-Length and a Transfer-Encoding.
	oldVersion, hasLength, hasCoding bool
	// partial is the beginning of a line whose end has not arrived.
	partial []byte
}

// check checks the next bytes of the connection, and returns an error that wraps ErrInvalidResponse
// if they cannot belong to a response. It does not change or keep p.
func (h *headCheck) check(p []byte) error {
	for !h.done && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			if len(h.partial)+len(p) > maxResponseHeadBytes {
				return errLongLine
			}
			h.partial = append(h.partial, p...)
			return nil
		}
		line := p[:end]
		p = p[end+1:]
		if len(h.partial) > 0 {
			line = append(h.partial, line...)
			h.partial = line[:0]
		}
		if n := len(line); n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		if err := h.checkLine(line); err != nil {
			return err
		}
	}
	h.partial = nil
	return nil
}

func (h *headCheck) checkLine(line []byte) error {
	switch {
	case !h.inFields:
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	case h.hasCoding && h.hasLength:
		return errAmbiguousLength
	case h.hasCoding && h.oldVersion:
		return errCodingInOldVersion
	}
	*h = headCheck{done: !h.interim, partial: h.partial}
	return nil
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". The reason and the blank before it may be
// missing.
func (h *headCheck) checkStatusLine(line []byte) error {
	const begin = len("HTTP/1.1 ")
	status, reason, _ := bytes.Cut(line[min(begin, len(line)):], []byte(" "))
	if len(line) < begin || string(line[:7]) != "HTTP/1." || !isDigit(line[7]) || line[8] != ' ' ||
		len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || hasControlByte(reason) {
		return errInvalidStatusLine
	}
	if status[0] < '1' || status[0] > '5' {
		return errInvalidStatus
	}
	// No head follows that of 101, which the home refuses.
	h.inFields, h.interim, h.oldVersion = true, status[0] == '1' && string(status) != "101", line[7] == '0'
	return nil
}

func (h *headCheck) checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFoldedLine
	}
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || !isToken(line[:colon]) {
		return errInvalidFieldName
	}
	name, value := line[:colon], line[colon+1:]
	switch {
	case isField(name, "content-length"):
		h.hasLength = true
		if !isNumber(bytes.Trim(value, " \t")) {
			return errInvalidLength
		}
	case isField(name, "transfer-encoding"):
		h.hasCoding = true
	}
	return nil
}

// tokenBytes marks the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}
	return is
}()

// isToken reports whether text is a token. httpguts has such a check, but needs golang.org/x/text.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// isField reports whether name is the field name lower, in any case.
func isField(name []byte, lower string) bool {
	return len(name) == len(lower) && bytes.EqualFold(name, []byte(lower))
}

func isNumber(text []byte) bool {
	for _, c := range text {
		if !isDigit(c) {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// hasControlByte reports whether text has a control byte other than a tab.
func hasControlByte(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
