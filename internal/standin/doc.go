// Package standin holds small stand-ins for the platform and the targets, for
// the dev role and for tests: a log, a list of boxes, a model engine, a plain
// service, a weight store and a rank group. Each serves the protocol that the
// real one would, behind the interfaces of the root package.
package standin
