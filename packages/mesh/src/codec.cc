#include "dogwoodport/mesh/codec.h"

#include <array>
#include <exception>
#include <utility>

#include "dogwoodport/mesh/mesh_error.h"

namespace dogwoodport {
namespace {

constexpr std::uint32_t kEnvelopeSize = 5;
/// Nesting of the envelope, the message struct, its lists and their items, with a reserve.
constexpr std::size_t kMaxDepth = 16;
/// Longest list in a message. An array header may announce more items than the bytes hold, and
/// memory for them is taken at once.
constexpr std::size_t kMaxItems = 1U << 18U;

using Convert = Message (*)(const msgpack::object&);

template <std::size_t I>
Message ConvertTo(const msgpack::object& body) {
  return Message(std::in_place_index<I>, body.as<std::variant_alternative_t<I, Message>>());
}

template <std::size_t... Is>
constexpr auto MakeConverters(std::index_sequence<Is...> /*indices*/) {
  // Index 0 is std::monostate, which is never sent.
  return std::array<Convert, sizeof...(Is) + 1>{nullptr, &ConvertTo<Is + 1>...};
}

constexpr auto kConverters =
    MakeConverters(std::make_index_sequence<std::variant_size_v<Message> - 1>());

Delivery ConvertEnvelope(const msgpack::object& envelope) {
  if (envelope.type != msgpack::type::ARRAY || envelope.via.array.size != kEnvelopeSize) {
    throw MeshError("the envelope is not an array of 5");
  }
  const msgpack::object* parts = envelope.via.array.ptr;
  const auto version = parts[0].as<std::uint32_t>();
  if (version != kMeshProtocolVersion) {
    throw MeshError("protocol version " + std::to_string(version) + " instead of " +
                    std::to_string(kMeshProtocolVersion));
  }
  const auto index = parts[3].as<std::uint32_t>();
  if (index == 0 || index >= kConverters.size()) {
    throw MeshError("unknown message type " + std::to_string(index));
  }
  return Delivery{InstanceId{parts[1].as<std::uint64_t>()},
                  Incarnation{parts[2].as<std::uint64_t>()}, kConverters[index](parts[4])};
}

}  // namespace

std::string EncodeMessage(InstanceId from, Incarnation incarnation, const Message& message) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(buf);
  packer.pack_array(kEnvelopeSize);
  packer.pack(kMeshProtocolVersion);
  packer.pack(from.value);
  packer.pack(incarnation.value);
  packer.pack(static_cast<std::uint32_t>(message.index()));
  std::visit(
      [&packer](const auto& body) {
        if constexpr (std::is_same_v<std::decay_t<decltype(body)>, std::monostate>) {
          packer.pack_nil();
        } else {
          packer.pack(body);
        }
      },
      message);
  return std::string(buf.data(), buf.size());
}

Delivery DecodeMessage(std::string_view bytes) {
  try {
    std::size_t offset = 0;
    const msgpack::unpack_limit limit(kMaxItems, kMaxItems, bytes.size(), bytes.size(),
                                      bytes.size(), kMaxDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) throw MeshError("bytes after the message");
    return ConvertEnvelope(handle.get());
  } catch (const MeshError&) {
    throw;
  } catch (const std::exception&) {
    std::throw_with_nested(MeshError("message not decoded"));
  }
}

}  // namespace dogwoodport
