/// @file
/// Request rates. Pure.
#pragma once

#include <cstdint>

#include "protocol/strong_id.hpp"

namespace anisehold {

/// Rate in thousandths of a request per second.
using RequestRate = Strong<struct RequestRateTag, std::uint32_t>;

inline double per_second(RequestRate rate) {
    constexpr double units_per_request = 1'000;
    return rate.value / units_per_request;
}

}  // namespace anisehold
