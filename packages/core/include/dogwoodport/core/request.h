#pragma once

/// @file
/// Requests and answers as the decision logic and the messages between instances carry them.

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Whether a target may have run a request: the value of `Dogwood-Run`.
enum class RunState : std::uint8_t { kNo, kYes, kUnknown };

/// Returns "no", "yes" or "unknown". Complexity: constant.
std::string_view ToString(RunState run) noexcept;

/// A header field.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
  MSGPACK_DEFINE_ARRAY(name, value)
};

/// Returns the value of the field `name`, compared without case, or null. Complexity: linear in
/// `fields`.
const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name) noexcept;

/// Returns whether two field names are equal without regard to case. Complexity: linear.
bool FieldNamesEqual(std::string_view a, std::string_view b) noexcept;

/// A caller's request as it came in.
struct Request {
  std::string method;
  /// Path with query, as on the request line.
  std::string uri;
  std::vector<HeaderField> fields;
  std::string body;

  friend bool operator==(const Request&, const Request&) = default;
  MSGPACK_DEFINE_ARRAY(method, uri, fields, body)
};

/// An answer for a caller.
struct Answer {
  std::uint16_t status = 0;
  std::vector<HeaderField> fields;
  std::string body;

  friend bool operator==(const Answer&, const Answer&) = default;
  MSGPACK_DEFINE_ARRAY(status, fields, body)
};

/// An answer with the run state that its `Dogwood-Run` field states.
struct Reply {
  Answer answer;
  RunState run = RunState::kNo;
};

}  // namespace dogwoodport

MSGPACK_ADD_ENUM(dogwoodport::RunState)
