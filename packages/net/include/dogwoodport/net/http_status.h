#pragma once

/// @file
/// HTTP response status codes used by the router.

namespace dogwoodport::net::status {

inline constexpr int kOk = 200;
inline constexpr int kUnauthorized = 401;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace dogwoodport::net::status
