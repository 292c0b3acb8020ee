#pragma once

/// @file
/// Client side of a persistent HTTP/1.1 connection that carries one request at a time.

#include <functional>
#include <list>
#include <map>
#include <vector>

#include "dogwoodport/net/http_parser.h"
#include "dogwoodport/net/stream.h"

namespace dogwoodport::net {

/// Reason why a call ended without a response.
enum class CallFailure {
  kNotConnected,  ///< Connecting failed; no byte of the request was sent.
  kStale,         ///< A reused connection was closed before any byte of the request was sent.
  kBroken,        ///< The connection broke after bytes of the request may have been sent.
  kMalformed,     ///< The peer sent an invalid or truncated response.
  kRejected,      ///< A new connection was reset before any byte of a response: the peer may be
                  ///< overloaded.
};

/// Returns the name of a failure for logs.
const char* NameOf(CallFailure failure) noexcept;

/// Relation of a response to the call in progress.
enum class ResponseMatch {
  kOwn,      ///< The response to the call.
  kForeign,  ///< The response to another call. It is skipped.
  /// The response names no call and counts as that to this one. Unless it is a success, the
  /// connection is not used again, because a copy of it would count as the response to the next
  /// call.
  kUnidentified,
};

/// Receives the outcome of a call. Either `OnResponse` or `OnFailure` is called, exactly once and
/// never from within `Send`.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  virtual void OnResponse(HttpResponse response) = 0;
  virtual void OnFailure(CallFailure failure) = 0;
  /// Returns whether a response belongs to this call.
  virtual ResponseMatch Match(const HttpResponse& /*response*/) { return ResponseMatch::kOwn; }
  /// Returns whether a response to this call is a success, after which the call is not made again.
  virtual bool IsSuccess(const HttpResponse& response) const {
    return response.status >= 200 && response.status < 300;
  }
};

class ClientConnection;

/// Functions that a connection calls for its owner.
struct ConnectionEvents {
  /// The connection is ready for the next call.
  std::function<void(ClientConnection*)> on_idle;
  /// The connection has been closed.
  std::function<void(ClientConnection*)> on_closed;
  /// Bytes have arrived while no call was in progress; the connection is closed next.
  std::function<void(ClientConnection*)> on_unsolicited;
};

/// A connection to `address` that carries one call at a time.
class ClientConnection : public StreamHandler,
                         public boost::intrusive_ref_counter<ClientConnection> {
 public:
  /// `number` identifies the connection in logs.
  ClientConnection(EventLoop& loop, std::string address, std::uint64_t number, MessageLimits limits,
                   ConnectionEvents events);
  ~ClientConnection() override;

  /// Starts to connect. Called once, after construction.
  void Open();

  /// Sends a serialised request. `is_head_request` must be set for HEAD, whose response has no
  /// body.
  /// `call_id` is the id that the response repeats; empty if it repeats none.
  void Send(std::string_view bytes, bool is_head_request, CallHandler* handler,
            std::string_view call_id = {});

  /// Closes the connection. A call in progress is aborted: its handler is not called, and the
  /// connection is reset so that bytes still in transit are never delivered.
  void Abort();

  const std::string& address() const noexcept { return address_; }
  std::uint64_t number() const noexcept { return number_; }
  /// Number of calls started on the connection.
  std::uint64_t calls() const noexcept { return calls_; }
  /// Whether a response to the call `call_id` that was no success has been received here. The peer
  /// may send a copy of it, which cannot be told from the response to the same call sent again.
  bool MayRepeatResponseTo(std::string_view call_id) const;
  bool busy() const noexcept { return handler_ != nullptr; }
  bool open() const noexcept { return stream_ && stream_->open(); }
  /// Whether any byte of the current call may have been sent.
  bool any_sent() const noexcept;
  /// Start of the current idle period.
  TimePoint idle_since() const noexcept { return idle_since_; }
  /// Idle timeout that the peer announced in a Keep-Alive field; zero if it announced none.
  Duration peer_idle_limit() const noexcept { return peer_idle_limit_; }

  void OnConnected() override;
  void OnInput() override;
  void OnEnd(StreamEnd end) override;

 private:
  void Finish(HttpResponse response, ResponseMatch match);
  void Fail(CallFailure failure);
  void Close();
  bool NextResponse();

  EventLoop& loop_;
  std::string address_;
  std::uint64_t number_;
  MessageLimits limits_;
  ConnectionEvents events_;
  StreamPtr stream_;
  CallHandler* handler_ = nullptr;
  ResponseParser parser_;
  std::string unsent_request_;
  std::uint64_t calls_ = 0;
  std::size_t call_id_hash_ = 0;
  bool has_call_id_ = false;
  /// Hashes of the ids of calls whose response was no success.
  std::vector<std::size_t> unsuccessful_calls_;
  bool is_head_request_ = false;
  bool saw_foreign_response_ = false;
  /// Responses of the current call that were skipped: interim ones and those to other requests.
  int skipped_responses_ = 0;
  std::uint64_t sent_bytes_before_call_ = 0;
  TimePoint idle_since_;
  Duration peer_idle_limit_{0};
};

using ClientConnectionPtr = boost::intrusive_ptr<ClientConnection>;

/// Serialises a request. Hop-by-hop fields are removed and Content-Length is recomputed.
std::string ToBytes(const HttpRequest& request);
/// As above, with `body` in place of the body of `request`.
std::string ToBytes(const HttpRequest& request, std::string_view body);

}  // namespace dogwoodport::net
