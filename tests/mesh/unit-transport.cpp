#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <thread>

#include "dogwoodport/mesh/mesh.h"
#include "dogwoodport/mesh/mesh_error.h"

namespace dogwoodport {
namespace {

/// Waits until `condition` holds; the limit only ends a run that hangs.
template <typename Condition>
bool Await(Condition condition) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

class Inbox {
 public:
  void Push(Delivery d) {
    const std::lock_guard<std::mutex> lock(mutex_);
    list_.push_back(std::move(d));
  }
  std::size_t size() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return list_.size();
  }
  Delivery at(std::size_t i) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return list_.at(i);
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Delivery> list_;
};

MeshSettings Settings(const std::string& name, std::vector<MeshPeer> peers) {
  MeshSettings settings;
  settings.self = InstanceId::FromName(name);
  settings.incarnation = Incarnation{1};
  settings.listen = "127.0.0.1:0";
  settings.peers = std::move(peers);
  settings.max_message_bytes = 100'000;
  return settings;
}

const InstanceId kB = InstanceId::FromName("b");

}  // namespace

TEST_CASE("messages travel in order and oversized ones are not sent") {
  Inbox inbox;
  Mesh b(
      Settings("b", {}), [&](Delivery d) { inbox.Push(std::move(d)); }, nullptr);
  Mesh a(
      Settings("a", {{kB, "127.0.0.1:" + std::to_string(b.port())}}), [](const Delivery&) {},
      nullptr);
  REQUIRE(Await([&] { return a.Connected(kB); }));
  for (std::uint64_t i = 0; i < 100; ++i) REQUIRE(a.Send(kB, ForwardCancel{i}));
  REQUIRE(Await([&] { return inbox.size() == 100; }));
  CHECK(std::get<ForwardCancel>(inbox.at(99).message).forward_id == 99);

  ForwardAnswer big;
  big.answer.body.assign(200'000, 'x');
  CHECK_FALSE(a.Send(kB, big));
  CHECK(a.counters().dropped_sends == 1);
}

TEST_CASE("sending never blocks on a peer that is down or unknown") {
  // Guards against the router's thread waiting for a partitioned peer.
  Mesh a(
      Settings("a", {{kB, "127.0.0.1:1"}}), [](const Delivery&) {}, nullptr);
  CHECK_FALSE(a.Send(kB, ForwardCancel{1}));
  CHECK_FALSE(a.Send(InstanceId::FromName("c"), ForwardCancel{1}));
  CHECK(a.counters().dropped_sends == 2);
}

TEST_CASE("a receiver counts and drops messages over its own limit") {
  std::atomic<int> delivered{0};
  MeshSettings small = Settings("b", {});
  small.max_message_bytes = 1000;
  Mesh b(
      small, [&](const Delivery&) { ++delivered; }, nullptr);
  Mesh a(
      Settings("a", {{kB, "127.0.0.1:" + std::to_string(b.port())}}), [](const Delivery&) {},
      nullptr);
  REQUIRE(Await([&] { return a.Connected(kB); }));
  ForwardAnswer answer;
  answer.answer.body.assign(1500, 'x');
  REQUIRE(a.Send(kB, answer));
  REQUIRE(a.Send(kB, ForwardCancel{1}));
  REQUIRE(Await([&] { return delivered == 1; }));
  CHECK(b.counters().rejected == 1);
}

TEST_CASE("a peer that comes back is reached again") {
  Inbox inbox;
  auto b = std::make_unique<Mesh>(
      Settings("b", {}), [&](Delivery d) { inbox.Push(std::move(d)); }, nullptr);
  const std::string address = "127.0.0.1:" + std::to_string(b->port());
  Mesh a(
      Settings("a", {{kB, address}}), [](const Delivery&) {}, nullptr);
  REQUIRE(Await([&] { return a.Connected(kB); }));
  b.reset();
  REQUIRE(Await([&] { return !a.Connected(kB); }));
  MeshSettings again = Settings("b", {});
  again.listen = address;
  b = std::make_unique<Mesh>(
      again, [&](Delivery d) { inbox.Push(std::move(d)); }, nullptr);
  REQUIRE(Await([&] { return a.Send(kB, ForwardCancel{2}); }));
  CHECK(Await([&] { return inbox.size() > 0; }));
}

TEST_CASE("an address that can't be used is reported") {
  MeshSettings settings = Settings("a", {});
  settings.listen = "192.0.2.1:1";
  CHECK_THROWS_AS(Mesh(
                      settings, [](const Delivery&) {}, nullptr),
                  MeshError);
}

}  // namespace dogwoodport
