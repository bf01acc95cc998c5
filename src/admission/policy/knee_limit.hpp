/// @file
/// A limit for servers that turn slower when nearly all their slots are taken: it looks for the knee of the
/// throughput curve, the point from which more calls in flight add latency and no throughput.
#pragma once

#include <array>

#include "admission/concurrency_limit.hpp"

namespace anisehold::admission {

/// Compares how long calls take at several shares of the slots, and keeps to the share at which the server
/// completes most: a few slots left free can give more than all of them taken. Starts from all slots, and
/// comes back to them as soon as what was measured there is old. Sheds of the server don't count: the gate
/// knows its calls in flight exactly, so a server that sheds below its slots doesn't do so for want of them.
/// Measured: mean worth of 15 days 0.519 with it, 0.510 with AIMD; a limit of all slots was as good
/// as AIMD (docs/design/overload.md).
///
/// While more calls wait than there are slots, none would ever begin with fewer in flight, and nothing would
/// be learned when it matters most. So the next lower limit is then tried for a moment now and then.
class KneeLimit final : public ConcurrencyLimit {
  public:
    explicit KneeLimit(unsigned slots);
    unsigned limit() const override { return steps_.at(is_probing_ ? chosen_ + 1 : chosen_).limit; }
    void on_sample(TimePoint now, const Sample& sample) override;

  private:
    /// Calls that began with as many in flight as the step's limit, and more than the next step's.
    struct Step {
        unsigned limit = 1;
        double weight = 0;    ///< Number of calls; older ones count less.
        double total_us = 0;  ///< Of their times, with the same weights.
    };
    static constexpr std::size_t kSteps = 3;

    /// Makes older calls count less.
    void fade(TimePoint now);
    /// Keeps to the step that completes most, by what was measured.
    void choose();
    /// Begins or ends a trial of the next lower limit.
    void steer_probe(TimePoint now);
    /// Calls completed a second at the step's limit, in no unit; 0 if too few were measured.
    static double throughput(const Step& step);

    std::array<Step, kSteps> steps_;  ///< Falling limits; the first is the number of slots.
    std::size_t chosen_ = 0;
    bool is_probing_ = false;  ///< The limit after the chosen one is being tried.
    TimePoint probe_ends_;     ///< At the latest.
    TimePoint next_probe_;     ///< At the earliest.
    TimePoint faded_;
};

}  // namespace anisehold::admission
