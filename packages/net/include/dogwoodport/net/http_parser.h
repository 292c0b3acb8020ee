#pragma once

/// @file
/// Incremental parsers of HTTP/1.1 messages on top of Boost.Beast, with the checks that a router
/// needs beyond it: framing that two readers may read differently is an error.

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodport/net/http_message.h"

namespace dogwoodport::net {

/// Size limits of a message, in bytes.
struct MessageLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64ULL * 1024 * 1024;
  /// Memory for the bodies of all messages together; not bounded if it is not set.
  BodyBudgetPtr bodies;
};

/// Why a request cannot be read: the status to answer and a short text for people.
struct RequestFault {
  int status = 400;
  std::string text;
};

/// Parses one request.
///
/// @code
/// RequestParser parser(limits);
/// const std::size_t n = parser.Put(buffer);
/// buffer.erase(0, n);
/// if (parser.complete()) Handle(parser.Take());
/// @endcode
class RequestParser {
 public:
  explicit RequestParser(const MessageLimits& limits);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /// Reads from `data` and returns how many bytes were used; bytes beyond the message stay.
  std::size_t Put(std::string_view data);

  bool complete() const noexcept;
  /// Whether the header section is complete.
  bool head_complete() const noexcept;
  /// Set once the request cannot be read.
  const std::optional<RequestFault>& fault() const noexcept;
  /// Whether the caller waits for "100 Continue" before it sends the body.
  bool expects_continue() const noexcept;
  HttpRequest Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Parses responses of one connection, one after the other.
class ResponseParser {
 public:
  /// `to_head` tells that the request was HEAD, whose response has no body.
  ResponseParser(const MessageLimits& limits, bool is_head_request);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  std::size_t Put(std::string_view data);
  /// The connection was closed in order; a body without length ends here.
  void PutEof();

  bool complete() const noexcept;
  bool failed() const noexcept;
  /// Whether any byte of a response was read.
  bool started() const noexcept;
  HttpResponse Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport::net
