#include "sidecar/rate_lines.hpp"

#include <array>
#include <cstdio>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using admission::RateChange;
using observability::Event;
using observability::log_event;

/// Minimum time between two lines of the same kind.
constexpr seconds kLogInterval{1};

std::string_view name_of(RateChange change) {
    switch (change) {
        case RateChange::kNone:
            return "none";
        case RateChange::kStarted:
            return "began";
        case RateChange::kChanged:
            return "moved";
        case RateChange::kEnded:
            return "ended";
    }
    return "none";
}

std::string_view name_of(RateSource source) {
    switch (source) {
        case RateSource::kAnswer:
            return "answer";
        case RateSource::kCaller:
            return "caller";
        case RateSource::kHealth:
            return "health";
    }
    return "answer";
}

}  // namespace

std::string rate_text(const std::optional<RequestRate>& rate) {
    std::array<char, 32> text{};
    if (rate) {
        std::snprintf(text.data(), text.size(), "%g", per_second(*rate));
    }
    return text.data();
}

void RateLines::on_change(TimePoint now, const admission::ServerRate& rate, const RateLimitChange& move) {
    const bool is_move = move.change == RateChange::kChanged;
    if (move.change == RateChange::kNone || (is_move && now < next_move_)) {
        return;
    }
    next_move_ = now + kLogInterval;
    log_event(Event::kServerRateLimit, {{"server", instance_},
                                        {"change", std::string(name_of(move.change))},
                                        {"per_s", rate_text(rate.limit())},
                                        {"source", std::string(name_of(move.source))},
                                        {"age_ms", std::to_string(to_milliseconds(move.age))}});
}

void RateLines::on_refused(TimePoint now, const admission::ServerRate& rate) {
    ++refused_;
    if (now < next_refusal_) {
        return;
    }
    next_refusal_ = now + kLogInterval;
    log_event(Event::kServerRateRefused, {{"server", instance_},
                                          {"refused", std::to_string(refused_)},
                                          {"per_s", rate_text(rate.limit())},
                                          {"age_ms", std::to_string(to_milliseconds(rate.age(now)))}});
    refused_ = 0;
}

void RateLines::on_malformed() {
    if (logged_malformed_) {
        return;
    }
    logged_malformed_ = true;
    log_event(Event::kServerLimitMalformed, {{"server", instance_}});
}

}  // namespace anisehold::sidecar
