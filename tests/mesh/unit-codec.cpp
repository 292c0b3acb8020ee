#include <catch2/catch.hpp>
#include <random>

#include "dogwoodport/mesh/codec.h"
#include "dogwoodport/mesh/mesh_error.h"

namespace dogwoodport {
namespace {

const InstanceId kSender = InstanceId::FromName("howrah-1");

std::vector<Message> SampleMessages() {
  ForwardRequest request;
  request.forward_id = 7;
  request.request_id = "howrah-1-7";
  request.account_name = "hospital";
  request.remaining_us = 1'000'000;
  request.request = {"POST", "/khata/a?x=1", {{"X-A", "b"}}, std::string("\0\xff body", 7)};
  RenewRequest renew;
  Heartbeat heartbeat;
  heartbeat.sequence = 3;
  return {request, ForwardAnswer{7, RunState::kYes, {200, {{"A", "b"}}, "whole"}}, ForwardCancel{9},
          renew, heartbeat};
}

}  // namespace

TEST_CASE("a message arrives as it was sent") {
  const Message message = SampleMessages().front();
  const Delivery d = DecodeMessage(EncodeMessage(kSender, Incarnation{5}, message));
  CHECK(d.from == kSender);
  CHECK(d.incarnation == Incarnation{5});
  const auto& in = std::get<ForwardRequest>(d.message);
  const auto& out = std::get<ForwardRequest>(message);
  CHECK(in.request == out.request);
  CHECK(in.request_id == out.request_id);
  CHECK(in.remaining_us == out.remaining_us);
}

TEST_CASE("messages of another protocol version are refused") {
  // Guards against a type index being read by another list of types.
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(buf);
  packer.pack_array(5);
  packer.pack(kMeshProtocolVersion + 1);
  packer.pack(std::uint64_t{1});
  packer.pack(std::uint64_t{1});
  packer.pack(std::uint32_t{1});
  packer.pack_array(0);
  CHECK_THROWS_AS(DecodeMessage({buf.data(), buf.size()}), MeshError);
}

TEST_CASE("an array header that announces more than it holds is refused") {
  // Guards against memory being taken for 4 billion announced items.
  const std::string bytes("\xdd\xff\xff\xff\xff", 5);
  CHECK_THROWS_AS(DecodeMessage(bytes), MeshError);
}

TEST_CASE("mutated and cut messages are decoded or refused, never a crash") {
  constexpr std::uint64_t kSeed = 20261204;
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  int refused = 0;
  for (const Message& message : SampleMessages()) {
    const std::string whole = EncodeMessage(kSender, Incarnation{1}, message);
    for (int round = 0; round < 3000; ++round) {
      std::string bytes = whole;
      const std::size_t changes = 1 + random() % 4;
      for (std::size_t i = 0; i < changes; ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random() & 0xffU);
      }
      if (random() % 4 == 0) bytes.resize(random() % bytes.size());
      try {
        DecodeMessage(bytes);
      } catch (const MeshError&) {
        ++refused;
      }
    }
  }
  CHECK(refused > 0);
}

}  // namespace dogwoodport
