// Package api holds the interfaces of the regional system: the OpenAPI file of the calls that operators,
// clients, the platform and servers see, and the messages between the system's own processes. The code beside
// them is generated; CI shows that it is current.
package api

//go:generate go run ../internal/tools/protogen . fieldrelay/v1/system.proto
//go:generate go tool oapi-codegen -config operator-types.yaml operator.yaml
//go:generate go tool oapi-codegen -config operator-server.yaml operator.yaml
//go:generate go tool oapi-codegen -config coordination.yaml operator.yaml
