#pragma once

/// @file
/// Messages between instances of the order subsystem.

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// All messages of this subsystem, in the order of their type index.
using OrderMessages = detail::TypeList<>;

}  // namespace dogwoodport
