// Package eventstream keeps the events of a response in order where several replicas in turn may send it:
// Splitter finds the complete events in what is read, and Order decides which of them the caller gets. It
// does not read or write, and knows nothing of connections, retries or what proves the end of a response.
package eventstream
