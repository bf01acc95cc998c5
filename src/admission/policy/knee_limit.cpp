#include "admission/policy/knee_limit.hpp"

#include <algorithm>
#include <cmath>

namespace anisehold::admission {
namespace {

/// Shares of the slots that are compared. A wrong choice must cost little: what changes a server's times
/// while its load changes too, a slow moment for one, looks like a knee, as it did when five shares were
/// compared (docs/design/overload.md). The values are chosen, not measured.
constexpr std::array<double, 3> kShares{1.0, 0.94, 0.88};
/// Calls that began with fewer than this part of a step's limit in flight say nothing of it. Chosen, not
/// measured.
constexpr double kMinFill = 0.9;
/// Time after which a measured call counts half, in seconds: short, so that the shares are compared at about
/// the same time. Chosen, not measured.
constexpr double kHalfLifeS = 0.7;
/// Calls that a step needs before it is compared. Times of calls scatter by about half of their mean; of 40
/// the mean scatters by 8 %, worked out.
constexpr double kMinWeight = 40;
/// A step below all slots must promise so much more: the scatter of kMinWeight calls. Chosen, not measured.
constexpr double kMinGain = 1.08;
/// A lower limit is tried when as many calls as this were measured at the chosen one, and until as many were
/// at its own: twice what a comparison needs, since it is made once only. Chosen, not measured.
constexpr double kProbeWeight = 80;
/// Longest trial, and time between two. Worked out: at 500 calls a second a trial takes 0.16 s, so that a
/// server without a knee loses one in two hundred of its calls. In a model of a saturated server of 20 slots
/// that is 1.3 times as slow with all taken, 437 calls a second were completed without trials and 500 with
/// them; of one without a knee 568 and 565.
constexpr milliseconds kMaxProbe{400};
constexpr milliseconds kProbeInterval{3'000};

}  // namespace

KneeLimit::KneeLimit(unsigned slots) {
    for (std::size_t index = 0; index < kSteps; ++index) {
        steps_.at(index).limit = std::max(1U, static_cast<unsigned>(kShares.at(index) * slots));
    }
}

void KneeLimit::on_sample(TimePoint now, const Sample& sample) {
    fade(now);
    if (sample.outcome != SampleOutcome::kCompleted) {
        return;
    }
    // The last step whose limit isn't passed; steps of few slots share a limit, and the first of them counts.
    const auto step = std::find_if(steps_.rbegin(), steps_.rend(),
                                   [&](const Step& each) { return sample.in_flight <= each.limit; });
    if (step != steps_.rend() && sample.in_flight >= kMinFill * step->limit) {
        step->weight += 1;
        step->total_us +=
            static_cast<double>(std::chrono::duration_cast<microseconds>(sample.latency).count());
    }
    if (!is_probing_) {
        choose();
    }
    steer_probe(now);
}

void KneeLimit::choose() {
    std::size_t best = 0;
    const double whole = throughput(steps_.front());
    double most = whole * kMinGain;
    for (std::size_t index = 1; whole > 0 && index < kSteps; ++index) {
        const double promised = throughput(steps_.at(index));
        if (promised > most) {
            most = promised;
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
        choose();
        return;
    }
    const bool has_next = chosen_ + 1 < kSteps && steps_.at(chosen_ + 1).limit < steps_.at(chosen_).limit;
    if (!has_next || now < next_probe_) {
        return;
    }
    is_probing_ = steps_.at(chosen_).weight >= kProbeWeight && steps_.at(chosen_ + 1).weight < kMinWeight;
    probe_ends_ = now + kMaxProbe;
}

void KneeLimit::fade(TimePoint now) {
    if (faded_ == TimePoint{}) {
        faded_ = now;
    }
    const std::chrono::duration<double> elapsed = now - faded_;
    const double kept = std::exp2(-elapsed.count() / kHalfLifeS);
    for (auto& step : steps_) {
        step.weight *= kept;
        step.total_us *= kept;
    }
    faded_ = now;
}

double KneeLimit::throughput(const Step& step) {
    return step.weight < kMinWeight ? 0 : step.limit * step.weight / std::max(1.0, step.total_us);
}

}  // namespace anisehold::admission
