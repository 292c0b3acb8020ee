#include "dogwoodport/mesh/mesh.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <chrono>
#include <map>
#include <thread>

#include "dogwoodport/mesh/mesh_error.h"

namespace dogwoodport {
namespace {

/// The transport closes a connection that announces more than this multiple of the limit; smaller
/// excess is received, counted and dropped.
constexpr std::size_t kTransportLimitFactor = 2;
constexpr nng_duration kReconnectMinMs = 20;
constexpr nng_duration kReconnectMaxMs = 200;
constexpr std::chrono::seconds kRejectionLogInterval{1};

void Check(int result, const std::string& what) {
  if (result != 0) throw MeshError(what + ": " + nng_strerror(result));
}

/// Owns an nng socket.
class Socket {
 public:
  explicit Socket(int (*open)(nng_socket*)) { Check(open(&socket_), "socket not opened"); }
  ~Socket() { nng_close(socket_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  nng_socket get() const noexcept { return socket_; }

 private:
  nng_socket socket_{};
};

/// The dialled socket to one peer.
class Link {
 public:
  Link(const std::string& address, int queue_length) : socket_(&nng_push0_open) {
    const std::string url = "tcp://" + address;
    Check(nng_socket_set_int(socket_.get(), NNG_OPT_SENDBUF, queue_length), url);
    Check(nng_socket_set_ms(socket_.get(), NNG_OPT_RECONNMINT, kReconnectMinMs), url);
    Check(nng_socket_set_ms(socket_.get(), NNG_OPT_RECONNMAXT, kReconnectMaxMs), url);
    Check(nng_pipe_notify(socket_.get(), NNG_PIPE_EV_ADD_POST, &Link::OnPipe, this), url);
    Check(nng_pipe_notify(socket_.get(), NNG_PIPE_EV_REM_POST, &Link::OnPipe, this), url);
    Check(nng_dial(socket_.get(), url.c_str(), nullptr, NNG_FLAG_NONBLOCK), url);
  }

  bool Send(std::string& bytes) {
    if (!connected()) return false;
    return nng_send(socket_.get(), bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) == 0;
  }

  bool connected() const noexcept { return pipes_.load(std::memory_order_acquire) > 0; }

 private:
  static void OnPipe(nng_pipe /*pipe*/, nng_pipe_ev event, void* self) {
    static_cast<Link*>(self)->pipes_.fetch_add(event == NNG_PIPE_EV_ADD_POST ? 1 : -1);
  }

  std::atomic<int> pipes_{0};
  Socket socket_;
};

struct AtomicCounters {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> received_bytes{0};
  std::atomic<std::uint64_t> dropped_sends{0};
  std::atomic<std::uint64_t> rejected{0};
};

}  // namespace

class Mesh::Impl {
 public:
  Impl(MeshSettings settings, Handler handler, RejectionLog log)
      : settings_(std::move(settings)),
        handler_(std::move(handler)),
        log_(std::move(log)),
        inbound_(&nng_pull0_open) {
    Listen();
    for (const MeshPeer& peer : settings_.peers) {
      if (peer.id == settings_.self) continue;
      links_.emplace(peer.id, std::make_unique<Link>(peer.address, settings_.queue_length));
    }
    receiver_ = std::thread([this] { Receive(); });
  }

  ~Impl() {
    stopping_ = true;
    nng_close(inbound_.get());
    receiver_.join();
  }

  bool Send(InstanceId to, const Message& message) {
    const auto it = links_.find(to);
    std::string bytes = it == links_.end()
                            ? std::string()
                            : EncodeMessage(settings_.self, settings_.incarnation, message);
    if (it == links_.end() || bytes.size() > settings_.max_message_bytes ||
        !it->second->Send(bytes)) {
      ++counters_.dropped_sends;
      return false;
    }
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
    return true;
  }

  bool Connected(InstanceId peer) const {
    const auto it = links_.find(peer);
    return it != links_.end() && it->second->connected();
  }

  std::uint16_t port() const noexcept { return port_; }

  MeshCounters counters() const {
    return {counters_.sent,           counters_.sent_bytes,    counters_.received,
            counters_.received_bytes, counters_.dropped_sends, counters_.rejected};
  }

 private:
  void Listen() {
    const std::string url = "tcp://" + settings_.listen;
    Check(nng_socket_set_size(inbound_.get(), NNG_OPT_RECVMAXSZ,
                              settings_.max_message_bytes * kTransportLimitFactor),
          url);
    nng_listener listener{};
    Check(nng_listen(inbound_.get(), url.c_str(), &listener, 0), "can't listen on " + url);
    nng_sockaddr address{};
    Check(nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &address), url);
    const std::uint16_t port = address.s_in.sa_port;
    port_ = static_cast<std::uint16_t>((port << 8U) | (port >> 8U));
  }

  void Receive() {
    while (!stopping_) {
      nng_msg* raw = nullptr;
      const int result = nng_recvmsg(inbound_.get(), &raw, 0);
      if (result == NNG_ECLOSED) return;
      if (result != 0) continue;
      const std::unique_ptr<nng_msg, decltype(&nng_msg_free)> msg(raw, &nng_msg_free);
      Deliver({static_cast<const char*>(nng_msg_body(raw)), nng_msg_len(raw)});
    }
  }

  void Deliver(std::string_view bytes) {
    if (bytes.size() > settings_.max_message_bytes) {
      Reject("message of " + std::to_string(bytes.size()) + " bytes is over the limit");
      return;
    }
    Delivery delivery;
    try {
      delivery = DecodeMessage(bytes);
    } catch (const MeshError& e) {
      Reject(DescribeNested(e));
      return;
    }
    ++counters_.received;
    counters_.received_bytes += bytes.size();
    handler_(std::move(delivery));
  }

  void Reject(const std::string& reason) {
    ++counters_.rejected;
    const auto now = std::chrono::steady_clock::now();
    if (now < next_log_ || !log_) return;
    next_log_ = now + kRejectionLogInterval;
    log_(reason, counters_.rejected);
  }

  MeshSettings settings_;
  Handler handler_;
  RejectionLog log_;
  AtomicCounters counters_;
  Socket inbound_;
  std::map<InstanceId, std::unique_ptr<Link>> links_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::chrono::steady_clock::time_point next_log_;
  std::thread receiver_;
};

Mesh::Mesh(MeshSettings settings, Handler handler, RejectionLog log)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(handler), std::move(log))) {}
Mesh::~Mesh() = default;

bool Mesh::Send(InstanceId to, const Message& message) { return impl_->Send(to, message); }
bool Mesh::Connected(InstanceId peer) const { return impl_->Connected(peer); }
std::uint16_t Mesh::port() const noexcept { return impl_->port(); }
MeshCounters Mesh::counters() const { return impl_->counters(); }

}  // namespace dogwoodport
