#pragma once

/// @file
/// HTTP requests, responses and header fields, independent of the parser.

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/net/body_budget.h"

namespace dogwoodport::net {

/// A header field.
struct Field {
  std::string name;
  std::string value;
};

/// Header fields in the order of arrival.
class Fields {
 public:
  void Add(std::string_view name, std::string_view value) {
    items_.push_back({std::string(name), std::string(value)});
  }
  /// Returns the value of the first field named `name` (case-insensitive), or nullptr. Complexity:
  /// linear.
  const std::string* Find(std::string_view name) const noexcept;
  /// Returns the number of fields named `name` (case-insensitive). Complexity: linear.
  std::size_t Count(std::string_view name) const noexcept;

  std::size_t size() const noexcept { return items_.size(); }
  auto begin() const noexcept { return items_.begin(); }
  auto end() const noexcept { return items_.end(); }

 private:
  std::vector<Field> items_;
};

/// A complete request.
struct HttpRequest {
  std::string method;
  /// Path and query as received. An absolute-form target is reduced to these.
  std::string target;
  /// Host without the port; taken from an absolute-form target if there is one.
  std::string host;
  Fields fields;
  std::string body;
  /// Memory reserved for the body; null if there is no memory budget.
  BodyLeasePtr lease;
  bool has_body = false;
  bool keep_alive = true;
};

/// A complete response.
struct HttpResponse {
  int status = 0;
  Fields fields;
  std::string body;
  /// Memory reserved for the body; null if there is no memory budget.
  BodyLeasePtr lease;
  /// False if the sender closes the connection after this response.
  bool keep_alive = true;
};

/// Whether two field names are equal, ignoring case.
bool EqualNames(std::string_view a, std::string_view b) noexcept;

/// Whether a field is hop-by-hop and must not be forwarded. `connection` is the value of the
/// Connection field, which may list additional hop-by-hop fields.
bool IsHopByHop(std::string_view name, std::string_view connection) noexcept;

/// Returns the fields of a received message that may be forwarded: without hop-by-hop fields and
/// those that its Connection fields name. A sender cannot name Host or the fields for which
/// `is_end_to_end` returns true, because those are meant for all recipients.
Fields EndToEndFields(const Fields& fields,
                      const std::function<bool(std::string_view)>& is_end_to_end);

/// Returns the standard reason phrase, or an empty string for an unknown status.
std::string_view ReasonPhrase(int status) noexcept;

}  // namespace dogwoodport::net
