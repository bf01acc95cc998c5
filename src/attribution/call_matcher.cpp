#include "attribution/call_matcher.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>
#include <vector>

namespace anisehold::attribution
{
namespace
{

/** Greatest difference, in ms, to the deadline of a run at which the run is considered. A machine that was
    paused between the two readings exceeds it, and its calls stay unknown. */
constexpr double maxOffsetMs = 15;
/** Range, in ms, over which deadlines that aren't inherited are assumed to scatter. */
constexpr double ownDeadlineRangeMs = 500;
/** Relative likelihood that a run makes a further call while one of its calls is in flight. Most servers make
    their calls one after the other; one that doesn't loses matches, but gets few wrong ones. */
constexpr double parallelCallWeight = 0.2;
/** Weight of the newest call in the learned offset, variance and share. */
constexpr double learningRate = 0.02;
/** Bound of the learned mean offset, in ms. */
constexpr double maxMeanOffsetMs = 8;
/** Bounds of the learned variance, in ms^2. Rounding to whole milliseconds alone gives 1/12. */
constexpr double minVariance = 0.1;
constexpr double maxVariance = 16;
/** Bounds of the learned share of calls with a deadline of their own, so that it can always change. */
constexpr double minOwnShare = 0.02;
constexpr double maxOwnShare = 0.95;

/** Number of the latest calls of a row, of 32, from which an equal time left is frequent. Where calls were
    measured, inherited times left scatter over 15 ms; 12 equal ones of 32 are then rarer than one in a
    thousand. A server with a constant service time
    states equal times as well. */
constexpr long minEqualTimesLeft = 12;

/** A run that may have made the call. */
struct Candidate
{
    std::uint64_t id = 0;
    const ServerRun* run = nullptr;
    double offsetMs = 0;
    double probability = 0;
};

double densityOf (const RunsAtServer& state, double offsetMs)
{
    const double deviation = offsetMs - state.meanOffsetMs;
    return std::exp (-deviation * deviation / (2 * state.offsetVariance)) /
           std::sqrt (2 * std::numbers::pi * state.offsetVariance);
}

/** Records the time left of a call, and returns whether it is frequent in its row. */
bool hasFrequentTimeLeft (RunsAtServer& state, const CallArrival& call)
{
    if (! state.timesLeft.contains (call.row) && state.timesLeft.size() >= maxCalledRows)
        return false;

    auto& recent = state.timesLeft[call.row];
    const auto equal = std::count (recent.values.begin(), recent.values.end(), call.timeLeft);
    recent.values.at (recent.next) = call.timeLeft;
    recent.next = (recent.next + 1) % recent.values.size();
    return equal >= minEqualTimesLeft;
}

/** Returns the runs that may have made the call, with their probabilities. `ownShare`: probability that the
    call has a deadline of its own. */
std::vector<Candidate> candidatesFor (const RunsAtServer& state, TimePoint callDeadline, double ownShare)
{
    std::vector<Candidate> candidates;
    const double runCount = std::max<double> (1, static_cast<double> (state.runs.size()));
    double total = ownShare / ownDeadlineRangeMs;

    for (const auto& [id, run] : state.runs)
    {
        const std::chrono::duration<double, std::milli> offset = callDeadline - run.deadline;

        if (std::abs (offset.count()) > maxOffsetMs)
            continue;

        const double weight = (1 - ownShare) / runCount * densityOf (state, offset.count()) *
                              (run.callsInFlight > 0 ? parallelCallWeight : 1.0);
        total += weight;
        candidates.push_back ({ id, &run, offset.count(), weight });
    }

    for (auto& it : candidates)
        it.probability /= total;

    return candidates;
}

void learn (RunsAtServer& state, const std::vector<Candidate>& candidates, double& ownShare)
{
    double inherited = 0;
    const double meanBefore = state.meanOffsetMs;

    for (const auto& it : candidates)
    {
        const double weight = learningRate * it.probability;
        const double deviation = it.offsetMs - meanBefore;
        inherited += it.probability;
        state.meanOffsetMs += weight * deviation;
        state.offsetVariance += weight * (deviation * deviation - state.offsetVariance);
    }

    state.meanOffsetMs = std::clamp (state.meanOffsetMs, -maxMeanOffsetMs, maxMeanOffsetMs);
    state.offsetVariance = std::clamp (state.offsetVariance, minVariance, maxVariance);

    // Calls far from all runs don't tell how doubtful a call near one is.
    if (! candidates.empty())
        ownShare += learningRate * (1 - inherited - ownShare);

    ownShare = std::clamp (ownShare, minOwnShare, maxOwnShare);
}

/** Returns the total probability of the candidates for which `agrees` holds. */
template <typename Predicate>
double probabilityOf (const std::vector<Candidate>& candidates, const Predicate& agrees)
{
    double sum = 0;

    for (const auto& it : candidates)
        sum += agrees (*it.run) ? it.probability : 0.0;

    return sum;
}

/** Fills in what the candidates agree on, and records the call at the most likely run if it is anything. */
void recordAtParent (RunsAtServer& state, const std::vector<Candidate>& candidates, CallOrigin& origin)
{
    const auto best =
        std::max_element (candidates.begin(), candidates.end(),
                          [] (const auto& a, const auto& b) { return a.probability < b.probability; });

    if (best == candidates.end())
        return;

    const auto& parent = *best->run;
    const auto hasRow = [&] (const ServerRun& run) { return run.row == parent.row; };
    const auto hasRoot = [&] (const ServerRun& run) { return run.root == parent.root; };

    if (probabilityOf (candidates, hasRow) >= minProbability)
        origin.parentRow = parent.row;

    if (parent.root && probabilityOf (candidates, hasRoot) >= minProbability)
        origin.root = parent.root;

    if (origin.parentRow.empty() && ! origin.root)
        return;

    auto& run = state.runs.at (best->id);
    origin.run = best->id;
    origin.made = run.callsMade++;
    ++run.callsInFlight;
}

} // namespace

void recordRunBegan (RunsAtServer& state, std::uint64_t id, ServerRun run)
{
    if (state.runs.size() < maxRuns)
        state.runs.insert_or_assign (id, std::move (run));
}

void recordRunEnded (RunsAtServer& state, std::uint64_t id)
{
    state.runs.erase (id);
}

CallOrigin matchCall (RunsAtServer& state, const CallArrival& call)
{
    CallOrigin origin;
    double& ownShare = hasFrequentTimeLeft (state, call) ? state.ownFrequentShare : state.ownDeadlineShare;
    const auto candidates = candidatesFor (state, call.received + call.timeLeft, ownShare);
    learn (state, candidates, ownShare);
    recordAtParent (state, candidates, origin);
    return origin;
}

void recordCallEnded (RunsAtServer& state, const CallOrigin& origin)
{
    const auto found = origin.run ? state.runs.find (*origin.run) : state.runs.end();

    if (found != state.runs.end() && found->second.callsInFlight > 0)
        --found->second.callsInFlight;
}

} // namespace anisehold::attribution
