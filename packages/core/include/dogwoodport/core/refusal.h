#pragma once

/// @file
/// Refusals as callers get them.

#include <cstdint>
#include <string>

#include "dogwoodport/core/request.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Returns a refusal with the JSON body `{"code","message","run","request_id"}`. Complexity: linear
/// in the texts.
/// @param retry_after adds the field `Retry-After` in whole seconds, rounded up, unless it is zero.
///
/// @code
/// return MakeRefusal(404, "unknown_route", "no route for this path", RunState::kNo, id);
/// @endcode
Reply MakeRefusal(std::uint16_t status, const std::string& code, const std::string& message,
                  RunState run, const std::string& request_id, Duration retry_after = Duration(0));

}  // namespace dogwoodport
