package rawserver

import "strings"

// Endless is a reply without end: how it begins, and the part that follows over and over.
type Endless struct {
	Begin string
	Again string
}

// endlessChunkBytes is the size of a chunk of an endless reply.
const endlessChunkBytes = 0x4000

// EndlessReplies returns a reply without end for each part of a reply, by its name.
func EndlessReplies() map[string]Endless {
	const chunked = okLine + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]Endless{
		"head":     {Begin: okLine + "\r\n", Again: "A: b\r\n"},
		"interims": {Again: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":     {Begin: okLine + "\r\n\r\n", Again: "a"},
		"length":   {Begin: okLine + "\r\nContent-Length: 1000000000000\r\n\r\n", Again: "a"},
		"chunks":   {Begin: chunked, Again: "4000\r\n" + strings.Repeat("a", endlessChunkBytes) + "\r\n"},
		"trailer":  {Begin: chunked + "0\r\n", Again: "A: b\r\n"},
	}
}
