/// @file
/// The number of descriptors that the process may have open, and the parts of it that listeners may use.
/// Relies on the limit that the system sets for the process.
#pragma once

#include <cstddef>

namespace anisehold::net {

/// Maximum number of open descriptors of the process.
std::size_t descriptor_limit();

/// A fraction of the descriptors.
struct DescriptorPart {
    std::size_t numerator = 1;
    std::size_t denominator = 1;

    /// Number of descriptors out of `total`, at least one.
    std::size_t of(std::size_t total) const;
};

}  // namespace anisehold::net
