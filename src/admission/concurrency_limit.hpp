/// @file
/// The interface of strategies that learn how many calls a server can run at once.
#pragma once

#include <memory>

#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// How a dispatched call ended, as far as the limit is concerned.
enum class SampleOutcome {
    kCompleted,
    kShed,     ///< The server refused it for overload.
    kTimeout,  ///< No answer in time.
    kIgnored,  ///< Says nothing about load: cancelled, broken connection, refused below.
};

/// One dispatched call that ended.
struct Sample {
    SampleOutcome outcome = SampleOutcome::kCompleted;
    Duration latency{};      ///< Own time: without the time spent in nested calls.
    unsigned in_flight = 0;  ///< Calls in flight at the server when it was dispatched, itself included.
};

/// Learns a concurrency limit from samples. Pure.
class ConcurrencyLimit {
  public:
    virtual ~ConcurrencyLimit() = default;
    /// Most calls to have in flight; at least 1.
    virtual unsigned limit() const = 0;
    virtual void on_sample(TimePoint now, const Sample& sample) = 0;
};

/// Bounds of a learned limit.
struct LimitBounds {
    unsigned initial = 8;
    unsigned ceiling = 1000;
};

}  // namespace anisehold::admission
