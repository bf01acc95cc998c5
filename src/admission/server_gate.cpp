#include "admission/server_gate.hpp"

#include <algorithm>

#include "protocol/retry_after.hpp"

namespace anisehold::admission {
namespace {

/// Minimum queue capacity, whatever the limit.
constexpr std::size_t kMinQueueCapacity = 16;
constexpr unsigned kLowestPriority = 9;
/// A new sample has the weight 1 / kAverageDivisor in the moving means.
constexpr int kAverageDivisor = 16;
/// A call is only started if its remaining time is at least this many mean service times: the work for a call
/// that times out is wasted.
constexpr double kRunMargin = 1.5;
/// Reservations are admitted ahead of free slots up to this fraction of the limit, and only as many as slots
/// become free between a grant and its request: a server of 65 slots with requests of 25 ms frees a slot
/// every 0.4 ms, so 5 to 8 slots would stay idle for the 2 to 3 ms between zones. A request that waits here
/// may have run, as far as its caller can tell, if this daemon ends meanwhile.
constexpr unsigned kReservationsAheadDivisor = 8;
constexpr unsigned kMaxReservationsAhead = 16;

Duration moving_average(Duration average, Duration sample) {
    if (average == Duration::zero()) {
        return sample;
    }
    return average + (sample - average) / kAverageDivisor;
}

}  // namespace

ServerGate::ServerGate(std::unique_ptr<ConcurrencyLimit> limit, GateOptions options)
    : limit_(std::move(limit)), options_(options) {}

ArrivalDecision ServerGate::arrive(TimePoint now, const GateCall& call) {
    ArrivalDecision decision;
    const Waiting newcomer{call, now};
    if (starts_at_once(now, call)) {
        start(now, call);
        return decision;
    }
    const std::size_t position = position_of(newcomer);
    const Duration rate_wait = rate_.wait(now, position);
    const Duration wait = std::max(expected_wait(position), rate_wait);
    decision.retry_after = std::max<Duration>(
        {expected_wait(queue_.size()), rate_.wait(now, queue_.size()), retry_after::kMinAtGate});
    if (now + wait + time_to_run() > call.deadline || now + rate_wait > call.latest_start) {
        decision.verdict = GateVerdict::kRefused;
        return decision;
    }
    if (queue_.size() >= queue_capacity()) {
        const bool is_last = position == queue_.size();
        if (is_last) {
            decision.verdict = GateVerdict::kRefused;
            return decision;
        }
        const auto worst =
            std::max_element(queue_.begin(), queue_.end(),
                             [&](const auto& left, const auto& right) { return precedes(left, right); });
        decision.evicted = worst->call.id;
        queue_.erase(worst);
    }
    decision.verdict = GateVerdict::kQueued;
    decision.give_up_at = call.deadline - time_to_run();
    queue_.push_back(newcomer);
    return decision;
}

std::vector<std::uint64_t> ServerGate::finish(TimePoint now, std::uint64_t id, SampleOutcome outcome,
                                              Duration nested_time) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return {};
    }
    const Duration held = now - found->second.started;
    const Duration own_time = std::max<Duration>(held - nested_time, Duration::zero());
    --running_by_row_[found->second.row];
    const unsigned in_flight = found->second.in_flight;
    running_.erase(found);
    if (outcome == SampleOutcome::kCompleted) {
        service_time_ = moving_average(service_time_, own_time);
        hold_time_ = moving_average(hold_time_, held);
    }
    limit_->on_sample(now, Sample{outcome, own_time, in_flight});
    return admit_waiting(now);
}

CommitVerdict ServerGate::commit(TimePoint now, std::uint64_t reserved, std::uint64_t id) {
    auto node = running_.extract(reserved);
    node.key() = id;
    auto& running = running_.insert(std::move(node)).position->second;
    // Starts at 0, unlike the other means: the first request of a caller also opens its connection.
    commit_delay_ += (now - running.started - commit_delay_) / kAverageDivisor;
    if (committed_.empty() && executing() < limit_->limit()) {
        execute(now, running);
        return CommitVerdict::kRuns;
    }
    committed_.push_back(id);
    return CommitVerdict::kWaits;
}

std::vector<std::uint64_t> ServerGate::free_reserved(TimePoint now, std::uint64_t id) {
    const auto found = running_.find(id);
    if (found == running_.end() || !found->second.is_reserved) {
        return {};
    }
    --running_by_row_[found->second.row];
    --reserved_;
    running_.erase(found);
    std::erase(committed_, id);
    return admit_waiting(now);
}

void ServerGate::execute(TimePoint now, Running& running) {
    --reserved_;
    running.is_reserved = false;
    running.started = now;
    running.in_flight = static_cast<unsigned>(executing());
}

std::vector<std::uint64_t> ServerGate::start_committed(TimePoint now) {
    std::vector<std::uint64_t> started;
    while (!committed_.empty() && executing() < limit_->limit()) {
        started.push_back(committed_.front());
        execute(now, running_.at(committed_.front()));
        committed_.pop_front();
    }
    return started;
}

unsigned ServerGate::reservations_ahead() const {
    if (hold_time_ == Duration::zero()) {
        return 0;
    }
    const auto limit = limit_->limit();
    const double freed = static_cast<double>(limit) * static_cast<double>(commit_delay_.count()) /
                         static_cast<double>(hold_time_.count());
    const auto max = std::min(limit / kReservationsAheadDivisor, kMaxReservationsAhead);
    return static_cast<unsigned>(std::min<double>(freed, max));
}

std::vector<std::uint64_t> ServerGate::admit_waiting(TimePoint now) {
    auto admitted = start_committed(now);
    bool has_found = true;
    while (has_found) {
        // The first call in order is chosen before its slot is checked: a reservation, which needs no free
        // slot, must not overtake a call that needs one.
        auto best = queue_.end();
        for (auto each = queue_.begin(); each != queue_.end(); ++each) {
            const bool better = best == queue_.end() || precedes(*each, *best);
            if (better && has_row_slot_for(each->call)) {
                best = each;
            }
        }
        has_found = best != queue_.end() && has_slot_for(best->call) && rate_.may_send(now);
        if (has_found) {
            admitted.push_back(best->call.id);
            start(now, best->call);
            queue_.erase(best);
        }
    }
    return admitted;
}

void ServerGate::abandon(std::uint64_t id) {
    std::erase_if(queue_, [&](const Waiting& waiting) { return waiting.call.id == id; });
}

std::optional<TimePoint> ServerGate::next_release(TimePoint now) const {
    return queue_.empty() || !is_rate_limited() ? std::nullopt : std::optional(now + rate_.wait(now, 0));
}

unsigned ServerGate::usable_limit(TimePoint now) const {
    const auto limit = limit_->limit();
    return std::min(limit, rate_.concurrency(now, hold_time_).value_or(limit));
}

GateLoad ServerGate::load() const {
    // Reservations ahead of free slots don't count as use of the limit.
    const auto in_use = std::min(running_.size(), std::max<std::size_t>(executing(), limit_->limit()));
    return {static_cast<unsigned>(in_use), static_cast<unsigned>(queue_.size()), limit_->limit()};
}

unsigned ServerGate::admitted_priority() const {
    if (queue_.size() < queue_capacity()) {
        return kLowestPriority;
    }
    unsigned worst = 0;
    for (const auto& waiting : queue_) {
        worst = std::max(worst, waiting.call.priority);
    }
    return worst;
}

bool ServerGate::starts_at_once(TimePoint now, const GateCall& call) const {
    // Without a rate limit no waiting call has a slot, since finish() starts all waiting calls that have one.
    if (call.is_reservation && position_of({call, now}) > 0) {
        return false;
    }
    return has_slot_for(call) && (!rate_.limit() || (queue_.empty() && rate_.may_send(now)));
}

bool ServerGate::has_slot_for(const GateCall& call) const {
    if (running_.size() >=
        limit_->limit() + (reserved_ > 0 || call.is_reservation ? reservations_ahead() : 0)) {
        return false;
    }
    const bool needs_free_slot = !call.is_reservation;
    if (needs_free_slot && executing() + committed_.size() >= limit_->limit()) {
        return false;
    }
    return has_row_slot_for(call);
}

bool ServerGate::has_row_slot_for(const GateCall& call) const {
    if (call.row_limit == 0) {
        return true;
    }
    const auto of_row = running_by_row_.find(call.row);
    return of_row == running_by_row_.end() || of_row->second < call.row_limit;
}

bool ServerGate::precedes(const Waiting& left, const Waiting& right) const {
    if (!options_.by_priority) {
        return left.arrived < right.arrived;
    }
    const unsigned left_priority = left.call.root_priority.value_or(left.call.priority);
    const unsigned right_priority = right.call.root_priority.value_or(right.call.priority);
    if (left_priority != right_priority) {
        return left_priority < right_priority;
    }
    if (left.call.calls_made != right.call.calls_made) {
        return left.call.calls_made > right.call.calls_made;
    }
    if (left.call.root_in_progress != right.call.root_in_progress) {
        return left.call.root_in_progress;
    }
    if (left.call.row != right.call.row) {
        return pass_of(left.call.row) < pass_of(right.call.row);
    }
    return left.call.root_started < right.call.root_started;
}

void ServerGate::start(TimePoint now, const GateCall& call) {
    rate_.on_sent(now);
    double& pass = passes_[call.row];
    // A row gains no credit while idle.
    pass = std::max(pass, current_pass_) + 1.0 / call.row_weight;
    current_pass_ = std::max(current_pass_, pass - 1.0 / call.row_weight);
    ++running_by_row_[call.row];
    const auto in_flight = static_cast<unsigned>(executing() + 1);
    running_[call.id] = Running{call.row, now, in_flight, call.is_reservation};
    reserved_ += call.is_reservation ? 1 : 0;
}

std::size_t ServerGate::position_of(const Waiting& newcomer) const {
    return static_cast<std::size_t>(std::count_if(
        queue_.begin(), queue_.end(), [&](const Waiting& waiting) { return !precedes(newcomer, waiting); }));
}

std::size_t ServerGate::queue_capacity() const {
    const auto by_limit = static_cast<std::size_t>(options_.queue_per_limit * limit_->limit());
    return std::max(kMinQueueCapacity, by_limit);
}

Duration ServerGate::expected_wait(std::size_t position) const {
    return hold_time_ * static_cast<long>(position + 1) / static_cast<long>(limit_->limit());
}

Duration ServerGate::time_to_run() const {
    return std::chrono::duration_cast<Duration>(service_time_ * kRunMargin);
}

double ServerGate::pass_of(const std::string& row) const {
    const auto found = passes_.find(row);
    return found == passes_.end() ? current_pass_ : std::max(found->second, current_pass_);
}

}  // namespace anisehold::admission
