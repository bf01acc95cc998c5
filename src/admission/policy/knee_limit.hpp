/// @file
/// A concurrency limit for servers that slow down when nearly all their slots are busy. Finds the knee of the
/// throughput curve: the point from which more calls in flight add latency but no throughput.
#pragma once

#include <array>

#include "admission/concurrency_limit.hpp"

namespace anisehold::admission {

/// Compares the call times at several shares of the slots, and uses the share with the highest throughput: a
/// few free slots can give more throughput than none. The limit starts at all slots, and returns to them as
/// soon as the measurements there are old. Calls shed by the server are ignored: the gate has an exact count
/// of the calls in flight, so a server that sheds calls below its number of slots does so for another reason.
/// The mean score of 15 days was 0.519 with this limit and 0.510 with AIMD; a limit of all slots was as good
/// as AIMD.
///
/// While more calls wait than there are slots, no call would ever begin with fewer calls in flight, and the
/// lower limits would never be measured when they matter most. So the limit probes the next lower step for a
/// short time at intervals.
class KneeLimit final : public ConcurrencyLimit {
  public:
    explicit KneeLimit(unsigned slots);
    unsigned limit() const override { return steps_.at(is_probing_ ? chosen_ + 1 : chosen_).limit; }
    void on_sample(TimePoint now, const Sample& sample) override;

  private:
    /// Measurements of the calls that began with at most this step's limit in flight, but more than the next
    /// step's.
    struct Step {
        unsigned limit = 1;
        double weight = 0;    ///< Number of calls, decayed exponentially.
        double total_us = 0;  ///< Sum of the call times, decayed in the same way.
    };
    static constexpr std::size_t kSteps = 3;

    /// Applies the exponential decay to all measurements.
    void decay(TimePoint now);
    /// Selects the step with the highest measured throughput.
    void select_step();
    /// Begins or ends a probe of the next lower limit.
    void steer_probe(TimePoint now);
    /// Throughput at the step's limit, in calls per microsecond; 0 if too few calls were measured.
    static double throughput(const Step& step);

    std::array<Step, kSteps> steps_;  ///< In descending order of the limit; the first is the number of slots.
    std::size_t chosen_ = 0;
    bool is_probing_ = false;  ///< The step after the chosen one is being probed.
    TimePoint probe_ends_;     ///< Latest end of the current probe.
    TimePoint next_probe_;     ///< Earliest start of the next probe.
    TimePoint decayed_at_;
};

}  // namespace anisehold::admission
