// Package wire holds the messages between graniteknot's own processes and the
// twirp services that carry the unary ones. It leaves all meaning to the
// packages that send and receive them.
package wire

//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. wire.proto ranks.proto
