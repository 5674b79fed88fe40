"""External authorization over gRPC: `envoy.service.auth.v3.Authorization/Check`, and gRPC health checks.

Requires the extra `grpc`; imported only if one of its addresses is configured.
"""
