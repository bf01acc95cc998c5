/// @file
/// Share of the arrivals that a server declines whatever its load.
///
/// Addresses days on which, for 8.5 s, the servers of a service decline 0.55 of their arrivals at once. The
/// gate finds the share within half a second, and its end as soon. A server that declines a request while all
/// its slots are in use lacks capacity instead, and doesn't count. Plain state and free functions. Pure.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// Results of the arrivals at one server, decayed exponentially.
struct DeclinedShare {
    double declined = 0;
    double ended = 0;
    TimePoint updated;
    bool is_declining = false;
};

/// A transition of a server into or out of declining.
enum class DeclineChange { kNone, kBegan, kEnded };

/// Records the end of an arrival.
DeclineChange record_arrival_end(DeclinedShare& share, TimePoint now, bool declined);

/// Ends the declining state if there was no result within `kDeclinedRetention`.
DeclineChange expire_declined(DeclinedShare& share, TimePoint now);

/// Returns the share, from 0 to 1; decays to 0 within `kDeclinedRetention` without new results.
double current_declined(const DeclinedShare& share, TimePoint now);

/// Returns the share in percent for reports; 0 while the server isn't believed to decline.
unsigned declined_percent(const DeclinedShare& share, TimePoint now);

/// Time after the latest result after which nothing is known of the share.
inline constexpr seconds kDeclinedRetention{2};

}  // namespace anisehold::admission
