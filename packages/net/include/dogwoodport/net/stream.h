#pragma once

/// @file
/// Non-blocking TCP connection with buffers for both directions.

#include <Poco/Net/StreamSocket.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>

#include "dogwoodport/net/event_loop.h"

namespace dogwoodport::net {

/// How a connection ended.
enum class StreamEnd {
  kNotConnected,  ///< The connection was never established.
  kClosed,        ///< The peer closed it in order.
  kReset,         ///< The peer or the network broke it.
};

/// Receives the events of one stream. After `OnEnd` no further event follows.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void OnConnected() {}
  /// New bytes were appended to `Stream::input`.
  virtual void OnInput() = 0;
  virtual void OnEnd(StreamEnd end) = 0;
};

/// One TCP connection. The handler may close the stream inside of any event.
class Stream : public Watcher, public boost::intrusive_ref_counter<Stream> {
 public:
  /// Takes over an accepted connection.
  Stream(EventLoop& loop, const Poco::Net::StreamSocket& socket, StreamHandler* handler);
  /// Starts to connect to `address` ("ip:port"). A failure is reported by `OnEnd` later.
  Stream(EventLoop& loop, const std::string& address, StreamHandler* handler);
  ~Stream() override { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Bytes that arrived and that the handler has not removed yet.
  std::string& input() noexcept { return input_; }

  /// Sends `data`, buffering what the socket does not take at once.
  void Write(std::string_view data);

  /// Whether bytes have arrived that were not read yet.
  bool HasUnreadInput() const;

  /// Whether all written bytes were handed to the operating system.
  bool flushed() const noexcept { return output_.empty(); }
  /// Bytes handed to the operating system so far.
  std::uint64_t sent_bytes() const noexcept { return sent_bytes_; }
  bool connected() const noexcept { return connected_; }
  bool open() const noexcept { return open_; }

  /// Stops or resumes reading; a stream that does not read does not notice that its peer left.
  void SetReading(bool reading);

  /// Closes the connection without an event.
  void Close();
  /// Resets the connection without an event: bytes that are still on their way are lost, which an
  /// orderly close does not ensure.
  void Reset();
  /// Closes it in order without further events: sends the buffered output and discards input until
  /// the peer closes too, as closing with unread input would reset the connection and could
  /// destroy output on its way. `peer_is_done` tells that the peer will send nothing more.
  void CloseAfterFlush(bool peer_finished);

  void OnReadable() override;
  void OnWritable() override;

 private:
  void UpdateMode();
  void Flush();
  void End(StreamEnd end);
  void ShutdownOutput();

  EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  StreamHandler* handler_;
  std::string input_;
  std::string output_;
  bool open_ = true;
  bool connected_ = false;
  bool reading_ = true;
  std::uint64_t sent_bytes_ = 0;
  /// Keeps a stream alive that its owner has left to `CloseAfterFlush`.
  boost::intrusive_ptr<Stream> lingering_;
  TimerId linger_timer_;
  bool output_shut_down_ = false;
  int mode_ = 0;
};

using StreamPtr = boost::intrusive_ptr<Stream>;

}  // namespace dogwoodport::net
