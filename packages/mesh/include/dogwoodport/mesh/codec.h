#pragma once

/// @file
/// MessagePack encoding of the messages between instances.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "dogwoodport/core/message.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Version of the envelope and of the list of message types. Messages of another version are
/// refused: the type index depends on the list.
inline constexpr std::uint32_t kMeshProtocolVersion = 1;

/// A decoded message with its sender.
struct Delivery {
  InstanceId from;
  Incarnation incarnation;
  Message message;
};

/// Returns the encoding of `message`: an array of protocol version, sender, incarnation, type index
/// and body. Complexity: linear in the size of the message.
std::string EncodeMessage(InstanceId from, Incarnation incarnation, const Message& message);

/// Decodes `bytes`. Complexity: linear; memory is bounded by a constant times the size of `bytes`.
/// @throws MeshError when the bytes are no whole message of this protocol version.
///
/// @code
/// const Delivery d = DecodeMessage(EncodeMessage(self, incarnation, ForwardCancel{7}));
/// @endcode
Delivery DecodeMessage(std::string_view bytes);

}  // namespace dogwoodport
