#pragma once

/// @file
/// HTTP/1.1 server. Pipelined requests may be processed concurrently; their responses are sent in
/// the order of the requests.

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

/// A request and its pending response. The server holds a reference until the response is sent;
/// code that responds later holds its own.
class Exchange : public boost::intrusive_ref_counter<Exchange> {
 public:
  Exchange(boost::intrusive_ptr<ServerConnection> connection, HttpRequest request, TimePoint now);

  HttpRequest& request() noexcept { return request_; }
  const HttpRequest& request() const noexcept { return request_; }
  TimePoint received_at() const noexcept { return received_at_; }

  /// Sets the response. Only the first call has an effect. Hop-by-hop fields are removed.
  void Respond(HttpResponse response);
  bool responded() const noexcept { return responded_; }

  /// Sets the function that is called if the client closes its connection before the response.
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

/// An accepted connection.
class ServerConnection : public StreamHandler,
                         public boost::intrusive_ref_counter<ServerConnection>,
                         public boost::intrusive::list_base_hook<> {
 public:
  ServerConnection(HttpServer& server, const Poco::Net::StreamSocket& socket);

  /// Sends the responses that are complete, up to the first request without one.
  void SendReadyResponses();
  void OnInput() override;
  void OnEnd(StreamEnd end) override;
  /// Closes the connection if no request on it is open or has begun to arrive. Returns whether it
  /// was closed.
  bool CloseIfIdle();
  /// Detaches the connection from the server, which is about to be destroyed.
  void Detach();

 private:
  void ReadRequests();
  void StartRequest();
  void RespondToFault(const RequestFault& fault);
  void WriteResponse(const Exchange& exchange, bool last);
  void MarkActive();
  /// Returns the timeout for the request that is being read, counted from its first byte: the
  /// header timeout until the header section is complete, then the body timeout.
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
  /// Bytes sent at the latest check of the idle timeout.
  std::uint64_t sent_bytes_ = 0;
  /// Arrival time of the first byte of the request that is being read; unset if there is none.
  std::optional<TimePoint> reading_since_;
  bool continue_sent_ = false;
  bool stop_reading_ = false;
  /// The client has announced that its latest request is the last one on this connection.
  bool caller_finished_ = false;
  bool in_read_loop_ = false;
};

/// Limits on client connections. They may be changed while the server runs.
struct ServerLimits {
  MessageLimits message;
  /// Maximum time from the first byte of a request to the end of its header section.
  Duration header_timeout{3'000'000};
  /// Maximum time from the first byte of a request to the end of its body.
  Duration body_timeout{30'000'000};
  /// Maximum time without a request on an open connection.
  Duration idle_timeout{15'000'000};
  /// Maximum number of requests of one connection that are processed at once. Later ones are not
  /// read until a response has been sent.
  std::size_t pipeline_depth = 16;
  /// Maximum number of open connections. When it is reached, the connection that has been idle
  /// longest is closed in favour of a new one; if none is idle, the new one is closed.
  std::size_t max_connections = 3'000;
};

/// Accepts HTTP connections on one address.
class HttpServer : public Watcher {
 public:
  using RequestHandler = std::function<void(const ExchangePtr&)>;
  /// Creates the response to a request that cannot be parsed.
  using FaultHandler = std::function<HttpResponse(const RequestFault&)>;

  /// Opens the listening socket. Throws NetError on failure.
  HttpServer(EventLoop& loop, const std::string& address, RequestHandler on_request,
             FaultHandler on_fault);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  ServerLimits& limits() noexcept { return limits_; }
  /// Address ("ip:port") that the server listens on, with the actual port if 0 was requested.
  std::string address() const { return socket_.address().toString(); }

  /// Stops keeping connections alive. Idle connections are closed at once, others after the
  /// responses to the requests already received. New connections are still accepted, and closed
  /// after one request.
  void Drain();
  bool draining() const noexcept { return draining_; }

  /// Number of requests without a response.
  std::size_t open_requests() const noexcept { return open_requests_; }
  std::size_t open_connections() const noexcept { return connections_.size(); }
  /// Whether bytes of responses on closing connections have not been passed to the operating system
  /// yet. Complexity: linear in these connections.
  bool HasUnsentResponses();

  void OnReadable() override;
  void OnWritable() override {}

 private:
  friend class ServerConnection;
  /// Whether a connection should be closed after its response, because of a drain or because the
  /// number of connections has reached a certain percentage of the limit. The percentage is lower
  /// if the response refused the request (`refused`).
  bool ShouldClose(bool refused) const noexcept;
  bool EvictIdleConnection();
  void ForgetSentStreams();

  using Connections =
      boost::intrusive::list<ServerConnection, boost::intrusive::constant_time_size<true>>;

  EventLoop& loop_;
  Poco::Net::ServerSocket socket_;
  RequestHandler on_request_;
  FaultHandler on_fault_;
  ServerLimits limits_;
  /// Ordered by the time of the latest input, oldest first.
  Connections connections_;
  /// Closing connections with unsent responses.
  std::vector<StreamPtr> unsent_;
  std::size_t open_requests_ = 0;
  bool draining_ = false;
};

}  // namespace dogwoodport::net
