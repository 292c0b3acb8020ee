#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodport/net/connection_pool.h"
#include "dogwoodport/net/http_server.h"

namespace dogwoodport::net {

/// Runs the loop until `done` returns true. Returns false if that takes longer than `limit`.
inline bool RunUntil(EventLoop& loop, const std::function<bool()>& done, Duration limit) {
  bool timed_out = false;
  TimerId timer = loop.RunAfter(limit, [&] { timed_out = true; });
  if (!done()) {
    loop.Run([&] {
      if (timed_out || done()) loop.Stop();
    });
  }
  loop.Cancel(timer);
  return done();
}

/// An HTTP server whose requests the test receives and responds to.
class HttpFixture {
 public:
  HttpFixture()
      : server(
            loop, "127.0.0.1:0",
            [this](const ExchangePtr& exchange) { exchanges.push_back(exchange); },
            [](const RequestFault& fault) {
              HttpResponse response;
              response.status = fault.status;
              return response;
            }) {}

  /// Runs the loop until `done` returns true. Returns false if that takes longer than 5 seconds.
  bool RunUntil(const std::function<bool()>& done) {
    return net::RunUntil(loop, done, std::chrono::seconds(5));
  }

  static HttpResponse Text(const std::string& body) {
    HttpResponse response;
    response.status = 200;
    response.body = body;
    return response;
  }

  EventLoop loop;
  std::vector<ExchangePtr> exchanges;
  HttpServer server;
};

/// A client that sends raw bytes and collects the bytes it receives.
class RawClient : public StreamHandler {
 public:
  RawClient(EventLoop& loop, const std::string& address)
      : stream(new Stream(loop, address, this)) {}
  RawClient(EventLoop& loop, const Poco::Net::StreamSocket& connected)
      : stream(new Stream(loop, connected, this)) {}
  ~RawClient() override { stream->Close(); }

  void OnInput() override {
    received += stream->input();
    stream->input().clear();
  }
  void OnEnd(StreamEnd end) override {
    ended = true;
    end_reason = end;
  }

  StreamPtr stream;
  std::string received;
  bool ended = false;
  StreamEnd end_reason = StreamEnd::kClosed;
};

}  // namespace dogwoodport::net
