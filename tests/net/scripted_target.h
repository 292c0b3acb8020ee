#pragma once

/// @file
/// A target whose responses a test specifies byte by byte.

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodport/net/stream.h"

namespace dogwoodport::net {

/// The reaction of a target to a request.
struct Reaction {
  enum class End { kKeepOpen, kClose, kReset };

  std::string bytes;
  End end = End::kKeepOpen;
  /// Sent repeatedly, as fast as the peer accepts it, until the connection is closed.
  std::string endless;
  /// Time between two writes of `endless`; zero for no delay.
  Duration interval{0};
};

/// Listens on the loopback interface and reacts to requests according to a script.
class ScriptedTarget : public Watcher {
 public:
  /// Returns the reaction to a request, given its bytes and the index of its connection, from 0.
  using Script = std::function<Reaction(const std::string& request, std::size_t connection)>;

  ScriptedTarget(EventLoop& loop, Script script) : loop_(loop), script_(std::move(script)) {
    socket_.bind(Poco::Net::SocketAddress("127.0.0.1:0"));
    socket_.listen();
    loop_.Watch(socket_, Poco::Net::PollSet::POLL_READ, this);
  }
  ~ScriptedTarget() override { loop_.Unwatch(socket_); }
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  std::string address() const { return socket_.address().toString(); }
  void OnReadable() override {
    connections_.push_back(std::make_unique<Connection>(*this, socket_.acceptConnection()));
  }
  void OnWritable() override {}
  std::size_t connections() const { return connections_.size(); }
  StreamEnd end(std::size_t i) const { return connections_[i]->end_reason; }
  bool ended(std::size_t i) const { return connections_[i]->ended; }
  /// Number of bytes of an endless response that were sent on the connection with index `i`.
  std::size_t sent(std::size_t i) const { return connections_[i]->sent; }
  /// The requests received so far, in order.
  const std::vector<std::string>& requests() const { return requests_; }
  /// Sends bytes on the connection with index `i`.
  void Write(std::size_t i, const std::string& bytes) { connections_[i]->stream->Write(bytes); }

 private:
  /// A round of writes of an endless response ends when bytes remain unsent, so that they do not
  /// exhaust the memory, or when the total reaches a multiple of this number.
  static constexpr std::size_t kBytesPerRound = 1UL << 20;

  struct Connection : StreamHandler {
    Connection(ScriptedTarget& owner, const Poco::Net::StreamSocket& socket)
        : target(owner),
          number(owner.connections_.size()),
          stream(new Stream(owner.loop_, socket, this)) {}
    ~Connection() override {
      target.loop_.Cancel(timer);
      stream->Close();
    }
    void OnInput() override {
      const std::string request = std::move(stream->input());
      stream->input().clear();
      target.requests_.push_back(request);
      const Reaction reaction = target.script_(request, number);
      stream->Write(reaction.bytes);
      if (!reaction.endless.empty()) SendEndless(reaction.endless, reaction.interval);
      if (reaction.end == Reaction::End::kClose) stream->Close();
      if (reaction.end == Reaction::End::kReset) stream->Reset();
    }
    void SendEndless(const std::string& bytes, Duration interval) {
      if (ended) return;
      if (stream->flushed()) {
        do {
          stream->Write(bytes);
          sent += bytes.size();
        } while (interval == Duration{0} && stream->flushed() && sent % kBytesPerRound != 0);
      }
      timer = target.loop_.RunAfter(std::max(interval, Duration{1'000}), [this, bytes, interval] {
        timer = TimerId{};
        SendEndless(bytes, interval);
      });
    }
    void OnEnd(StreamEnd stream_end) override {
      ended = true;
      end_reason = stream_end;
    }
    ScriptedTarget& target;
    std::size_t number;
    StreamPtr stream;
    TimerId timer;
    std::size_t sent = 0;
    bool ended = false;
    StreamEnd end_reason = StreamEnd::kClosed;
  };

  EventLoop& loop_;
  Script script_;
  Poco::Net::ServerSocket socket_;
  std::vector<std::string> requests_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace dogwoodport::net
