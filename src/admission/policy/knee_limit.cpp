#include "admission/policy/knee_limit.hpp"

#include <algorithm>
#include <cmath>

namespace anisehold::admission {
namespace {

/// Shares of the slots that are compared. The lowest share bounds the cost of a wrong choice: if a server's
/// load changes while its times change for another reason, such as a short slowdown, the result looks like a
/// knee. With five shares such false knees occurred.
constexpr std::array<double, 3> kShares{1.0, 0.94, 0.88};
/// Calls that began with less than this part of a step's limit in flight are not attributed to the step.
constexpr double kMinFill = 0.9;
/// Half-life of a measured call, in seconds; short, so that the shares are compared over about the same
/// period.
constexpr double kHalfLifeS = 0.7;
/// Minimum number of calls before a step is compared. Call times scatter by about half of their mean, so the
/// mean of 40 scatters by 8 %.
constexpr double kMinWeight = 40;
/// Minimum throughput gain for a step below all slots: the scatter of the mean of kMinWeight calls.
constexpr double kMinGain = 1.08;
/// A probe starts after this many calls at the chosen step, and ends after this many at the probed step:
/// twice what a comparison needs, since each probe is compared only once.
constexpr double kProbeWeight = 80;
/// Maximum duration of a probe, and the time between two. At 500 calls per second a probe takes 0.16 s, so a
/// server without a knee loses one in two hundred of its calls. In a model of a saturated server with 20
/// slots that is 1.3 times slower with all slots busy, 437 calls per second complete without probes and 500
/// with probes; for a server without a knee 568 and 565.
constexpr milliseconds kMaxProbe{400};
constexpr milliseconds kProbeInterval{3'000};

}  // namespace

KneeLimit::KneeLimit(unsigned slots) {
    for (std::size_t index = 0; index < kSteps; ++index) {
        steps_.at(index).limit = std::max(1U, static_cast<unsigned>(kShares.at(index) * slots));
    }
}

void KneeLimit::on_sample(TimePoint now, const Sample& sample) {
    decay(now);
    if (sample.outcome != SampleOutcome::kCompleted) {
        return;
    }
    // The last step whose limit isn't exceeded. With few slots several steps share a limit; only the first of
    // them counts.
    const auto step = std::find_if(steps_.rbegin(), steps_.rend(),
                                   [&](const Step& each) { return sample.in_flight <= each.limit; });
    if (step != steps_.rend() && sample.in_flight >= kMinFill * step->limit) {
        step->weight += 1;
        step->total_us +=
            static_cast<double>(std::chrono::duration_cast<microseconds>(sample.latency).count());
    }
    if (!is_probing_) {
        select_step();
    }
    steer_probe(now);
}

void KneeLimit::select_step() {
    std::size_t best = 0;
    const double full_throughput = throughput(steps_.front());
    double highest = full_throughput * kMinGain;
    for (std::size_t index = 1; full_throughput > 0 && index < kSteps; ++index) {
        const double candidate = throughput(steps_.at(index));
        if (candidate > highest) {
            highest = candidate;
            best = index;
        }
    }
    chosen_ = best;
}

void KneeLimit::steer_probe(TimePoint now) {
    if (is_probing_) {
        if (steps_.at(chosen_ + 1).weight < kProbeWeight && now < probe_ends_) {
            return;
        }
        is_probing_ = false;
        next_probe_ = now + kProbeInterval;
        select_step();
        return;
    }
    const bool has_next = chosen_ + 1 < kSteps && steps_.at(chosen_ + 1).limit < steps_.at(chosen_).limit;
    if (!has_next || now < next_probe_) {
        return;
    }
    is_probing_ = steps_.at(chosen_).weight >= kProbeWeight && steps_.at(chosen_ + 1).weight < kMinWeight;
    probe_ends_ = now + kMaxProbe;
}

void KneeLimit::decay(TimePoint now) {
    if (decayed_at_ == TimePoint{}) {
        decayed_at_ = now;
    }
    const std::chrono::duration<double> elapsed = now - decayed_at_;
    const double kept = std::exp2(-elapsed.count() / kHalfLifeS);
    for (auto& step : steps_) {
        step.weight *= kept;
        step.total_us *= kept;
    }
    decayed_at_ = now;
}

double KneeLimit::throughput(const Step& step) {
    return step.weight < kMinWeight ? 0 : step.limit * step.weight / std::max(1.0, step.total_us);
}

}  // namespace anisehold::admission
