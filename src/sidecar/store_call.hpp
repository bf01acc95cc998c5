/// @file
/// The time that one call to the store may take.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::sidecar {

/// Far longer than the 4 ms of a store that is well; one that is slow or down is asked again later.
inline constexpr milliseconds kStoreCallTimeout{1'500};

/// When a call that begins now is given up.
inline TimePoint store_call_deadline() {
    return TimePoint::clock::now() + kStoreCallTimeout;
}

}  // namespace anisehold::sidecar
