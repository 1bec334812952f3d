// Package http1 writes HTTP/1.1 requests and reads the answers, with a bound on everything it reads.
//
// request.go writes requests, answer.go reads the head of an answer, body.go its body.
package http1

// AppendRequest appends a request without a body to b.
func AppendRequest(b []byte, method, target, host string) []byte {
	b = append(append(append(b, method...), ' '), target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Length: 0\r\n"...)
	}
	return append(b, "\r\n"...)
}
