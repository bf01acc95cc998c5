/// @file
/// The interface of strategies that set how many calls a gate lets run at its server at once; policy/ has
/// them. KneeLimit is the sidecar's, AimdLimit that of `anisehold serve`, FixedLimit either's with learning
/// off.
#pragma once

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

/// A concurrency limit, learned from samples. Pure.
class ConcurrencyLimit {
  public:
    virtual ~ConcurrencyLimit() = default;
    /// Most calls to have in flight; at least 1.
    virtual unsigned limit() const = 0;
    virtual void on_sample(TimePoint now, const Sample& sample) = 0;
};

}  // namespace anisehold::admission
