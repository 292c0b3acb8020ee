#pragma once

/// @file
/// Recognises a request that a caller sends again under another request id.

#include <cstdint>
#include <string>

#include "dogwoodport/net/http_message.h"

namespace dogwoodport::fleet {

/// Hash of what makes two requests the same to a target.
using Fingerprint = std::uint64_t;

/// Returns the fingerprint of the method, host, path, body and client account of a request.
/// `account` is empty on routes that are open to all. Complexity: linear in the length of the body.
Fingerprint FingerprintOf(const net::HttpRequest& request, const std::string& account);

/// Sixteen hexadecimal digits, for logs and keys of records.
std::string ToText(Fingerprint fingerprint);

}  // namespace dogwoodport::fleet
