#pragma once

/// @file
/// Server side of HTTP/1.1: accepts connections, reads requests and writes their responses in the
/// order of the requests, although several may be worked on at once.

#include <Poco/Net/ServerSocket.h>

#include <boost/intrusive/list.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "dogwoodport/net/http_parser.h"
#include "dogwoodport/net/stream.h"

namespace dogwoodport::net {

class HttpServer;
class ServerConnection;

/// One request and the place of its response. The server keeps it until it is answered; whoever
/// answers later holds a pointer.
class Exchange : public boost::intrusive_ref_counter<Exchange> {
 public:
  Exchange(boost::intrusive_ptr<ServerConnection> connection, HttpRequest request, TimePoint now);

  HttpRequest& request() noexcept { return request_; }
  const HttpRequest& request() const noexcept { return request_; }
  TimePoint received_at() const noexcept { return received_at_; }

  /// Answers the request; the first call counts. Fields that concern one connection are left out.
  void Respond(HttpResponse response);
  bool responded() const noexcept { return responded_; }

  /// Called when the caller closes its connection before the answer.
  void set_on_abandoned(std::function<void()> callback) { on_abandoned_ = std::move(callback); }
  bool abandoned() const noexcept { return abandoned_; }

 private:
  friend class ServerConnection;

  boost::intrusive_ptr<ServerConnection> connection_;
  HttpRequest request_;
  TimePoint received_at_;
  std::function<void()> on_abandoned_;
  HttpResponse response_;
  bool responded_ = false;
  bool abandoned_ = false;
};

using ExchangePtr = boost::intrusive_ptr<Exchange>;

/// One accepted connection.
class ServerConnection : public StreamHandler,
                         public boost::intrusive_ref_counter<ServerConnection>,
                         public boost::intrusive::list_base_hook<> {
 public:
  ServerConnection(HttpServer& server, const Poco::Net::StreamSocket& socket);

  /// Sends the answers that are due.
  void SendReadyResponses();
  void OnInput() override;
  void OnEnd(StreamEnd end) override;
  /// Closes the connection if no request is open on it; returns whether it did.
  bool CloseIfIdle();
  /// Forgets the server, which is about to be destroyed.
  void Detach();

 private:
  void ReadRequests();
  void StartRequest();
  void RespondToFault(const RequestFault& fault);
  void WriteResponse(const Exchange& exchange, bool last);
  void MarkActive();
  /// Longest time for what is missing of the request that is being read.
  Duration ReadTimeout() const;
  void ArmTimer();
  void OnTimer();
  void Remove();

  HttpServer* server_;
  StreamPtr stream_;
  RequestParser parser_;
  std::deque<ExchangePtr> exchanges_;
  TimerId timer_;
  TimePoint last_activity_;
  /// Start of the request that is being read; unset while none is.
  std::optional<TimePoint> reading_since_;
  bool continue_sent_ = false;
  bool stop_reading_ = false;
  /// The caller has said that its latest request is the last one.
  bool caller_finished_ = false;
  bool in_read_loop_ = false;
};

/// Limits towards callers. They may change while the server runs.
struct ServerLimits {
  MessageLimits message;
  /// Longest time from the first byte of a request to the end of its header section.
  Duration header_timeout{3'000'000};
  /// Longest time from the first byte of a request to the end of its body.
  Duration body_timeout{30'000'000};
  /// Longest time without a request on an open connection.
  Duration idle_timeout{15'000'000};
  /// Requests of one connection that are worked on at once; later ones wait unread.
  std::size_t pipeline_depth = 16;
  /// Open connections. Beyond it the connection that has been idle for longest makes room for a
  /// new one; if none is idle, the new one is closed.
  std::size_t max_connections = 3'000;
};

/// Listens on one address.
class HttpServer : public Watcher {
 public:
  using RequestHandler = std::function<void(const ExchangePtr&)>;
  /// Makes the answer to a request that cannot be read.
  using FaultHandler = std::function<HttpResponse(const RequestFault&)>;

  /// Opens the socket. Throws NetError if that fails.
  HttpServer(EventLoop& loop, const std::string& address, RequestHandler on_request,
             FaultHandler on_fault);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  ServerLimits& limits() noexcept { return limits_; }
  /// "ip:port" on which the server listens; the port is the actual one if it was opened with 0.
  std::string address() const { return socket_.address().toString(); }

  /// Lets each connection end after the answers to the requests that have arrived. Idle
  /// connections are closed; new ones are still accepted and closed after one request.
  void Drain();
  bool draining() const noexcept { return draining_; }

  /// Number of requests that have no answer yet.
  std::size_t open_requests() const noexcept { return open_requests_; }
  std::size_t open_connections() const noexcept { return connections_.size(); }

  void OnReadable() override;
  void OnWritable() override {}

 private:
  friend class ServerConnection;
  /// Whether connections should end after the answer to an accepted or a refused request.
  bool ShouldClose(bool refused) const noexcept;
  bool EvictIdleConnection();

  using Connections =
      boost::intrusive::list<ServerConnection, boost::intrusive::constant_time_size<true>>;

  EventLoop& loop_;
  Poco::Net::ServerSocket socket_;
  RequestHandler on_request_;
  FaultHandler on_fault_;
  ServerLimits limits_;
  /// Ordered by the time of their last request.
  Connections connections_;
  std::size_t open_requests_ = 0;
  bool draining_ = false;
};

}  // namespace dogwoodport::net
