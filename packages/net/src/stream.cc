#include "dogwoodport/net/stream.h"

#include <Poco/Exception.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace dogwoodport::net {
namespace {

using Poco::Net::PollSet;

constexpr int kReadChunkBytes = 16 * 1024;
/// Reading pauses while the handler has left this much input unconsumed.
constexpr std::size_t kMaxInputBytes = 256UL * 1024;
/// TCP_USER_TIMEOUT: a connection fails when sent bytes remain unacknowledged for this long.
constexpr int kUserTimeoutMs = 10'000;
/// Maximum time after `CloseAfterFlush` without any progress in sending the buffered output.
constexpr Duration kStalledOutputTimeout{5'000'000};
/// Maximum time that a closed connection waits for the peer to close too once all output is sent.
constexpr Duration kLingerTimeout{1'000'000};

void Prepare(Poco::Net::StreamSocket& socket) {
  socket.setNoDelay(true);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

}  // namespace

Stream::Stream(EventLoop& loop, const Poco::Net::StreamSocket& socket, StreamHandler* handler)
    : loop_(loop), socket_(socket), handler_(handler), connected_(true) {
  mode_ = PollSet::POLL_READ;
  loop_.Watch(socket_, mode_, this);
}

Stream::Stream(EventLoop& loop, const std::string& address, StreamHandler* handler)
    : loop_(loop), handler_(handler) {
  try {
    socket_.connectNB(Poco::Net::SocketAddress(address));
    Prepare(socket_);
    mode_ = PollSet::POLL_WRITE;
    loop_.Watch(socket_, mode_, this);
  } catch (const Poco::Exception&) {
    // Reported from the loop, so that the caller can finish its own set-up first.
    open_ = false;
    loop_.RunAfter(Duration{0}, [self = StreamPtr(this)] {
      if (self->handler_ != nullptr) self->handler_->OnEnd(StreamEnd::kNotConnected);
    });
  }
}

void Stream::UpdateMode() {
  if (!open_) return;
  int mode = 0;
  if (connected_ && reading_ && input_.size() < kMaxInputBytes) mode |= PollSet::POLL_READ;
  if (!connected_ || !output_.empty()) mode |= PollSet::POLL_WRITE;
  if (mode == mode_) return;
  mode_ = mode;
  loop_.Update(socket_, mode);
}

void Stream::Write(std::string_view data) {
  if (!open_) return;
  output_.append(data);
  if (connected_) Flush();
}

bool Stream::HasUnreadInput() const {
  if (!open_ || !connected_) return false;
  char byte = 0;
  return recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Stream::SetReading(bool reading) {
  reading_ = reading;
  UpdateMode();
}

void Stream::Close() {
  handler_ = nullptr;
  if (!open_) return;
  open_ = false;
  std::string().swap(output_);
  loop_.Cancel(linger_timer_);
  loop_.Unwatch(socket_);
  socket_.close();
  lingering_ = nullptr;  // Must be last: may destroy this object.
}

void Stream::Reset() {
  if (open_ && connected_) {
    try {
      socket_.setLinger(true, 0);
    } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch)
      // The peer has already reset the connection.
    }
  }
  Close();
}

void Stream::CloseAfterFlush(bool peer_finished) {
  handler_ = nullptr;
  if (!open_ || !connected_ || (peer_finished && output_.empty() && input_.empty())) {
    Close();
    return;
  }
  lingering_ = this;
  input_.clear();
  if (output_.empty()) {
    ShutdownOutput();
  } else {
    AwaitFlush();
  }
  UpdateMode();
}

void Stream::AwaitFlush() {
  linger_timer_ = loop_.RunAfter(kStalledOutputTimeout, [this, sent = sent_bytes_] {
    linger_timer_ = TimerId{};
    sent_bytes_ == sent ? Close() : AwaitFlush();
  });
}

void Stream::ShutdownOutput() {
  if (output_shut_down_) return;
  output_shut_down_ = true;
  loop_.Cancel(linger_timer_);
  linger_timer_ = loop_.RunAfter(kLingerTimeout, [this] {
    linger_timer_ = TimerId{};
    Close();
  });
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    Close();  // The peer has reset the connection.
  }
}

void Stream::End(StreamEnd end) {
  StreamHandler* handler = handler_;
  Close();
  if (handler != nullptr) handler->OnEnd(end);
}

void Stream::Flush() {
  while (!output_.empty()) {
    const ssize_t n =
        send(socket_.impl()->sockfd(), output_.data(), output_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n > 0) {
      sent_bytes_ += static_cast<std::uint64_t>(n);
      output_.erase(0, static_cast<std::size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    // The next read reports the broken connection, after any input received before it broke.
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) output_.clear();
    break;
  }
  if (output_.empty() && lingering_) ShutdownOutput();
  UpdateMode();
}

void Stream::OnWritable() {
  const StreamPtr lifetime_guard(this);
  if (!connected_) {
    int ec = 0;
    socket_.getOption(SOL_SOCKET, SO_ERROR, ec);
    if (ec != 0) {
      End(StreamEnd::kNotConnected);
      return;
    }
    connected_ = true;
    if (handler_ != nullptr) handler_->OnConnected();
    if (!open_) return;
  }
  Flush();
}

void Stream::OnReadable() {
  const StreamPtr lifetime_guard(this);
  if (!connected_) {
    OnWritable();
    return;
  }
  std::array<char, kReadChunkBytes> buf;
  const ssize_t n = recv(socket_.impl()->sockfd(), buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (n <= 0) {
    End(n == 0 ? StreamEnd::kClosed : StreamEnd::kReset);
    return;
  }
  if (handler_ == nullptr) return;  // Discard input after `CloseAfterFlush`.
  input_.append(buf.data(), static_cast<std::size_t>(n));
  handler_->OnInput();
  UpdateMode();
}

}  // namespace dogwoodport::net
