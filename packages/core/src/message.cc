#include "dogwoodport/core/message.h"

namespace dogwoodport {

// Not inline, because GCC 12 would report moved-from alternatives of the variant as uninitialized
// at each call.
void Outbox::Send(InstanceId to, Message message) {
  envelopes_.push_back(Envelope{to, std::move(message)});
}

}  // namespace dogwoodport
