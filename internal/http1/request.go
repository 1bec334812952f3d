// Package http1 writes HTTP/1.1 requests and reads responses, with a bound on everything that it reads.
//
// request.go writes requests, answer.go reads the head of a response, and body.go reads its body.
package http1

// AppendRequest appends a request without a body to b. A POST request announces its empty body with a Content-Length of 0.
func AppendRequest(b []byte, method, target, host string) []byte {
	b = append(append(append(b, method...), ' '), target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Length: 0\r\n"...)
	}
	return append(b, "\r\n"...)
}
