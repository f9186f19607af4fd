package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// hopHeaders concern one connection only, in canonical form.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// ownHeaders are set by the system, whatever the client sent; the key is not passed to servers.
var ownHeaders = map[string]bool{
	headerDeadline: true, headerExpect: true, headerTenant: true, headerSalt: true, headerFetch: true, headerSave: true,
	headerVersion: true, headerPriority: true, "Authorization": true,
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// named gives the names that a Connection header lists: they concern that connection only too.
func named(connection []byte) map[string]bool {
	if len(connection) == 0 {
		return nil
	}
	names := map[string]bool{}
	for field := range strings.SplitSeq(string(connection), ",") {
		names[strings.ToLower(strings.TrimSpace(field))] = true
	}
	return names
}

// message builds what is sent to the server: method, path, query and body as they came.
func (r *request) message(to *routed, left time.Duration) []byte {
	h := r.Header
	b := make([]byte, 0, 1024+len(r.Body))
	b = append(b, h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", string(h.Host()))
	drop := named(h.Peek(fasthttp.HeaderConnection))
	for key, value := range h.All() {
		name := string(key)
		if name == "Host" || hopHeaders[name] || ownHeaders[name] || drop[strings.ToLower(name)] {
			continue
		}
		if name == headerLastEvent && r.lastID != "" {
			continue
		}
		b = appendHeader(b, name, string(value))
	}
	b = appendHeader(b, headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	b = appendHeader(b, headerExpect, to.target.id)
	if r.tenant != nil {
		b = appendHeader(b, headerTenant, r.tenant.Name)
	}
	if p, ok := r.priority(); ok {
		b = appendHeader(b, headerPriority, strconv.Itoa(p))
	}
	if r.lastID != "" {
		b = appendHeader(b, headerLastEvent, r.lastID)
	}
	b = r.appendMemory(b, to)
	if len(r.Body) > 0 || !h.IsGet() {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// appendMemory sets what concerns kept prompts. A server that runs other weights than the salt was made for answers 421.
func (r *request) appendMemory(b []byte, to *routed) []byte {
	if to.Version == 0 {
		return b
	}
	b = appendHeader(b, headerSalt, to.Salt)
	b = appendHeader(b, headerVersion, strconv.FormatInt(to.Version, 10))
	if to.Fetch != "" {
		b = appendHeader(b, headerFetch, to.Fetch)
	}
	if to.Save != "" {
		b = appendHeader(b, headerSave, to.Save)
	}
	return b
}

// answerHead builds the head of an answer that is passed on, without its framing.
func answerHead(h *fasthttp.ResponseHeader) []byte {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(h.StatusCode()), 10)
	b = append(b, ' ')
	if message := h.StatusMessage(); len(message) > 0 {
		b = append(b, message...)
	} else {
		b = append(b, fasthttp.StatusMessage(h.StatusCode())...)
	}
	b = append(b, "\r\n"...)
	drop := named(h.Peek(fasthttp.HeaderConnection))
	for key, value := range h.All() {
		name := string(key)
		if hopHeaders[name] || drop[strings.ToLower(name)] {
			continue
		}
		b = appendHeader(b, name, string(value))
	}
	return b
}
