#pragma once

/// @file
/// Variant of all messages between instances, and a queue of outgoing messages.

#include <utility>
#include <vector>

#include "dogwoodport/core/forward_messages.h"
#include "dogwoodport/core/limit_messages.h"
#include "dogwoodport/core/membership_messages.h"
#include "dogwoodport/core/order_messages.h"
#include "dogwoodport/core/ownership_messages.h"
#include "dogwoodport/core/routing_messages.h"
#include "dogwoodport/core/state_messages.h"

namespace dogwoodport {

/// Any message between two instances.
using Message = detail::ConcatToVariant<detail::TypeList<std::monostate>, MembershipMessages,
                                        StateMessages, OwnershipMessages, LimitMessages,
                                        OrderMessages, RoutingMessages, ForwardMessages>::Type;

/// Message with its receiver.
struct Envelope {
  InstanceId to;
  Message message;
};

/// Queue of messages that the caller of a subsystem must send, in order.
class Outbox {
 public:
  /// Appends `message` for `to`. Complexity: amortized constant.
  void Send(InstanceId to, Message message);

  /// Removes and returns all messages. Complexity: constant.
  std::vector<Envelope> Take() { return std::exchange(envelopes_, {}); }

  bool empty() const noexcept { return envelopes_.empty(); }

 private:
  std::vector<Envelope> envelopes_;
};

}  // namespace dogwoodport
