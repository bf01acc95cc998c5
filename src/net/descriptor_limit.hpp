/// @file
/// The number of descriptors that the system lets the process open.
#pragma once

#include <cstddef>

namespace anisehold::net {

/// Maximum number of open descriptors of the process.
std::size_t descriptor_limit();

}  // namespace anisehold::net
