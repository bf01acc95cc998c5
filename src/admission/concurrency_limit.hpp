/// @file
/// Interface of the strategies that limit how many calls a gate runs at its server at once. The strategies
/// are in policy/: the sidecar uses KneeLimit, `anisehold serve` uses AimdLimit, and both use FixedLimit
/// where learning is switched off.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// Result of a dispatched call as the concurrency limit classifies it.
enum class SampleOutcome {
    kCompleted,
    kShed,     ///< The server rejected the call for overload.
    kTimeout,  ///< No response arrived in time.
    kIgnored,  ///< Unrelated to load: canceled, connection broken, or rejected by a nested service.
};

/// Measurement of one finished call.
struct Sample {
    SampleOutcome outcome = SampleOutcome::kCompleted;
    Duration latency{};      ///< Time in the server, without the time of nested calls.
    unsigned in_flight = 0;  ///< Calls in flight at its dispatch, including the call.
};

/// A concurrency limit that learns from samples. Pure.
class ConcurrencyLimit {
  public:
    virtual ~ConcurrencyLimit() = default;
    /// Maximum number of calls in flight; at least 1.
    virtual unsigned limit() const = 0;
    virtual void on_sample(TimePoint now, const Sample& sample) = 0;
};

}  // namespace anisehold::admission
