#pragma once

/// @file
/// Messages between instances of the ownership subsystem.

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// All messages of this subsystem, in the order of their type index.
using OwnershipMessages = detail::TypeList<>;

}  // namespace dogwoodport
