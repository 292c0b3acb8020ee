#pragma once

/// @file
/// Virtual-time bus between instances for tests, replays and measurements: latency, loss,
/// duplication and partitions, all from one seed.

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "dogwoodport/core/message.h"

namespace dogwoodport::standin {

/// Behaviour of the links.
struct LinkSettings {
  double loss = 0;
  double duplication = 0;
  /// One-way latency inside a data centre and between data centres; each message gets up to twice
  /// as much at random.
  Duration local_latency{200};
  Duration remote_latency{1'500};
};

/// Delivers messages in order of their virtual arrival time.
///
/// @code
/// bus.Attach(id, zone, [&](TimePoint now, InstanceId from, const Message& m) { ... });
/// bus.Send(now, id, outbox);
/// bus.RunUntil(now + Duration(1000));
/// @endcode
class MessageBus {
 public:
  using Handler = std::function<void(TimePoint now, InstanceId from, const Message& message)>;

  MessageBus(LinkSettings settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  /// Adds or replaces an instance; `zone` is the number of its data centre.
  void Attach(InstanceId id, std::uint32_t zone, Handler handler) {
    nodes_[id] = Node{zone, std::move(handler)};
  }

  /// Removes an instance; messages in flight to it are lost.
  void Detach(InstanceId id) { nodes_.erase(id); }

  /// Moves an instance to partition `side`; instances on different sides do not reach each other.
  void SetSide(InstanceId id, std::uint32_t side) { sides_[id] = side; }

  /// Ends all partitions.
  void Heal() { sides_.clear(); }

  /// Sends and empties `out`.
  void Send(TimePoint now, InstanceId from, Outbox& out) {
    for (Envelope& envelope : out.Take()) SendOne(now, from, envelope);
  }

  /// Delivers everything that arrives up to `until`.
  void RunUntil(TimePoint until) {
    while (!queue_.empty() && queue_.begin()->first <= until) {
      auto item = queue_.extract(queue_.begin());
      const Delivery& d = item.mapped();
      const auto it = nodes_.find(d.to);
      if (it == nodes_.end() || Side(d.from) != Side(d.to)) continue;
      const Handler handler = it->second.handler;
      handler(item.key(), d.from, d.message);
    }
  }

  /// Called for each message sent, before loss; for counting.
  void OnSent(std::function<void(InstanceId from, InstanceId to, const Message&)> observer) {
    observer_ = std::move(observer);
  }

  std::uint64_t sent() const noexcept { return sent_; }

 private:
  struct Node {
    std::uint32_t zone = 0;
    Handler handler;
  };

  struct Delivery {
    InstanceId from;
    InstanceId to;
    Message message;
  };

  std::uint32_t Side(InstanceId id) const {
    const auto it = sides_.find(id);
    return it == sides_.end() ? 0 : it->second;
  }

  bool Chance(double p) { return p > 0 && std::uniform_real_distribution<>()(random_) < p; }

  void SendOne(TimePoint now, InstanceId from, const Envelope& envelope) {
    ++sent_;
    if (observer_) observer_(from, envelope.to, envelope.message);
    const auto to = nodes_.find(envelope.to);
    if (to == nodes_.end()) return;
    const auto sender = nodes_.find(from);
    const bool local = sender != nodes_.end() && sender->second.zone == to->second.zone;
    const Duration base = local ? settings_.local_latency : settings_.remote_latency;
    const int copies = Chance(settings_.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Chance(settings_.loss)) continue;
      const auto extra = std::uniform_int_distribution<Duration::rep>(0, base.count())(random_);
      queue_.emplace(now + base + Duration(extra), Delivery{from, envelope.to, envelope.message});
    }
  }

  LinkSettings settings_;
  std::mt19937_64 random_;
  std::unordered_map<InstanceId, Node> nodes_;
  std::unordered_map<InstanceId, std::uint32_t> sides_;
  std::multimap<TimePoint, Delivery> queue_;
  std::function<void(InstanceId, InstanceId, const Message&)> observer_;
  std::uint64_t sent_ = 0;
};

}  // namespace dogwoodport::standin
