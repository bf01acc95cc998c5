/// @file
/// Timeout of calls to the store.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::sidecar {

/// Much longer than the 4 ms of a healthy store. A slow or unreachable store is called again later.
inline constexpr milliseconds kStoreCallTimeout{1'500};

/// Deadline of a call that begins now.
inline TimePoint store_call_deadline() {
    return TimePoint::clock::now() + kStoreCallTimeout;
}

}  // namespace anisehold::sidecar
