#pragma once

/// @file
/// Buffered non-blocking TCP connection.

#include <Poco/Net/StreamSocket.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>

#include "dogwoodport/net/event_loop.h"

namespace dogwoodport::net {

/// Reason why a connection ended.
enum class StreamEnd {
  kNotConnected,  ///< The connection was never established.
  kClosed,        ///< The peer closed it in an orderly way.
  kReset,         ///< It was reset or failed.
};

/// Receives the events of a stream. `OnEnd` is the last one.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void OnConnected() {}
  /// Called after new bytes have been appended to `Stream::input`.
  virtual void OnInput() = 0;
  virtual void OnEnd(StreamEnd end) = 0;
};

/// A TCP connection. The handler may close the stream from within any event.
class Stream : public Watcher, public boost::intrusive_ref_counter<Stream> {
 public:
  /// Takes ownership of an accepted connection.
  Stream(EventLoop& loop, const Poco::Net::StreamSocket& socket, StreamHandler* handler);
  /// Starts to connect to `address` ("ip:port"). A failure is reported through `OnEnd`, never from
  /// within the constructor.
  Stream(EventLoop& loop, const std::string& address, StreamHandler* handler);
  ~Stream() override { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Received bytes that the handler has not consumed yet.
  std::string& input() noexcept { return input_; }

  /// Sends `data`, buffering what the socket does not accept immediately.
  void Write(std::string_view data);

  /// Whether the socket holds received bytes that have not been read yet.
  bool HasUnreadInput() const;

  /// Whether all written bytes have been passed to the operating system.
  bool flushed() const noexcept { return output_.empty(); }
  /// Number of bytes passed to the operating system so far.
  std::uint64_t sent_bytes() const noexcept { return sent_bytes_; }
  bool connected() const noexcept { return connected_; }
  bool open() const noexcept { return open_; }

  /// Pauses or resumes reading. While reading is paused, a close by the peer is not detected.
  void SetReading(bool reading);

  /// Closes the connection without raising an event.
  void Close();
  /// Resets the connection without raising an event. Bytes in transit are discarded, which an
  /// orderly close does not guarantee.
  void Reset();
  /// Closes the connection in order without raising further events: sends the buffered output for
  /// as long as the peer accepts it and discards input until the peer closes too. Closing with
  /// unread input would reset the connection and could discard output in transit. `peer_finished`
  /// tells that the peer will send nothing more.
  void CloseAfterFlush(bool peer_finished);

  void OnReadable() override;
  void OnWritable() override;

 private:
  void UpdateMode();
  void Flush();
  void End(StreamEnd end);
  void ShutdownOutput();
  /// Closes the connection if the peer no longer accepts the buffered output.
  void AwaitFlush();

  EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  StreamHandler* handler_;
  std::string input_;
  std::string output_;
  bool open_ = true;
  bool connected_ = false;
  bool reading_ = true;
  std::uint64_t sent_bytes_ = 0;
  /// Self-reference that keeps the stream alive during `CloseAfterFlush`.
  boost::intrusive_ptr<Stream> lingering_;
  TimerId linger_timer_;
  bool output_shut_down_ = false;
  int mode_ = 0;
};

using StreamPtr = boost::intrusive_ptr<Stream>;

}  // namespace dogwoodport::net
