#pragma once

/// @file
/// Client side of one HTTP/1.1 connection: one request at a time, connections are kept and reused.

#include <functional>
#include <list>
#include <map>

#include "dogwoodport/net/http_parser.h"
#include "dogwoodport/net/stream.h"

namespace dogwoodport::net {

/// Why a call has no response.
enum class CallFailure {
  kNotConnected,  ///< No connection; no byte of the request has left.
  kStale,         ///< A kept connection was closed before any byte of the request had left.
  kBroken,        ///< The connection broke after bytes of the request may have left.
  kMalformed,     ///< The peer sent bytes that are no response, or not a whole one.
  kRejected,      ///< A new connection was reset before any byte came back: the peer may be full.
};

/// Name of a failure for logs.
const char* NameOf(CallFailure failure) noexcept;

/// Receives the outcome of a call; exactly one of the two is called, and never inside of `Send`.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  virtual void OnResponse(HttpResponse response) = 0;
  virtual void OnFailure(CallFailure failure) = 0;
  /// Decides whether a response belongs to the call; others are dropped and the next one is read.
  virtual bool Accepts(const HttpResponse& /*response*/) { return true; }
};

/// One connection to `address`, which carries one call at a time.
class ClientConnection : public StreamHandler,
                         public boost::intrusive_ref_counter<ClientConnection> {
 public:
  /// `on_idle` is called when the connection may take the next call, `on_gone` when it is closed.
  ClientConnection(EventLoop& loop, std::string address, MessageLimits limits,
                   std::function<void(ClientConnection*)> on_idle,
                   std::function<void(ClientConnection*)> on_closed);
  ~ClientConnection() override;

  /// Opens the connection; called once, after construction.
  void Open();

  /// Sends the bytes of one request. `to_head` tells that its response has no body.
  void Send(std::string_view bytes, bool is_head_request, CallHandler* handler);

  /// Closes the connection. A call that is under way is given up: its handler is not called, and
  /// bytes of it that have not arrived yet never will.
  void Abort();

  const std::string& address() const noexcept { return address_; }
  bool busy() const noexcept { return handler_ != nullptr; }
  bool open() const noexcept { return stream_ && stream_->open(); }
  /// Whether any byte of the present call may have left this machine.
  bool any_sent() const noexcept;
  /// Time since which the connection has been idle.
  TimePoint idle_since() const noexcept { return idle_since_; }
  /// How long the peer keeps an idle connection open, as far as it said so; zero if it did not.
  Duration peer_idle_limit() const noexcept { return peer_idle_limit_; }

  void OnConnected() override;
  void OnInput() override;
  void OnEnd(StreamEnd end) override;

 private:
  void Finish(HttpResponse response);
  void Fail(CallFailure failure);
  void Close();
  bool NextResponse();

  EventLoop& loop_;
  std::string address_;
  MessageLimits limits_;
  std::function<void(ClientConnection*)> on_idle_;
  std::function<void(ClientConnection*)> on_closed_;
  StreamPtr stream_;
  CallHandler* handler_ = nullptr;
  ResponseParser parser_;
  std::string unsent_request_;
  bool is_head_request_ = false;
  bool saw_foreign_response_ = false;
  /// Responses of the present call that were not the awaited one.
  int skipped_responses_ = 0;
  std::uint64_t sent_bytes_before_call_ = 0;
  TimePoint idle_since_;
  Duration peer_idle_limit_{0};
};

using ClientConnectionPtr = boost::intrusive_ptr<ClientConnection>;

/// Serialises a request. Hop-by-hop fields of `request` are left out; its length is written anew.
std::string ToBytes(const HttpRequest& request);
/// The same with `body` in place of the request's own.
std::string ToBytes(const HttpRequest& request, std::string_view body);

}  // namespace dogwoodport::net
