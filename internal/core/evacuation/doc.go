// Package evacuation tracks which availability zones operators have evacuated: their replicas
// get no further requests. States are ordered by how far they have read the settings topic, so
// that one that arrives late from another gateway can't replace a newer one. Reading the store,
// asking other gateways and applying the state to requests is left to the callers.
package evacuation
