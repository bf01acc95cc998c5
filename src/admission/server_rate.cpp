#include "admission/server_rate.hpp"

#include <algorithm>
#include <cmath>

namespace anisehold::admission {
namespace {

/// Requests that may come at once are those of this time: it evens out random arrivals, and adds a sixteenth
/// to what the server gets in four seconds.
constexpr double kBurstS = 0.25;
/// Whole requests are sent, also where the limit allows less than one in `kBurstS`.
constexpr double kMinBurst = 1;
/// One request in four seconds is sent whatever the limit: without an answer its end would never be known.
constexpr double kMinRatePerS = 0.25;
/// A limit that nothing has confirmed for this time doesn't keep callers away any more.
constexpr milliseconds kConfirmationLifetime{1'000};

double seconds_of(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

}  // namespace

double ServerRate::rate_per_s() const {
    return std::max(per_second(*limit_), kMinRatePerS);
}

double ServerRate::tokens_at(TimePoint now) const {
    const double max_tokens = std::max(kMinBurst, kBurstS * rate_per_s());
    return std::min(max_tokens, tokens_ + rate_per_s() * seconds_of(now - refilled_at_));
}

RateChange ServerRate::take(TimePoint now, RequestRate rate) {
    last_named_ = now;
    confirmed_ = now;
    if (limit_ == rate) {
        return RateChange::kNone;
    }
    const bool began = !limit_;
    tokens_ = began ? kMinBurst : tokens_at(now);
    refilled_at_ = now;
    limit_ = rate;
    return began ? RateChange::kStarted : RateChange::kChanged;
}

RateChange ServerRate::on_answer(TimePoint now, TimePoint sent, std::optional<RequestRate> named) {
    has_answered_ = true;
    if (named) {
        return take(now, *named);
    }
    if (!limit_ || sent < last_named_) {
        return RateChange::kNone;
    }
    limit_.reset();
    return RateChange::kEnded;
}

RateChange ServerRate::on_report(TimePoint now, RequestRate reported) {
    return has_answered_ || limit_ ? RateChange::kNone : take(now, reported);
}

Duration ServerRate::wait(TimePoint now, std::size_t before) const {
    if (!limit_) {
        return Duration::zero();
    }
    const double missing = static_cast<double>(before + 1) - tokens_at(now);
    return missing <= 0 ? Duration::zero()
                        : std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / rate_per_s()));
}

void ServerRate::on_sent(TimePoint now) {
    if (limit_) {
        tokens_ = tokens_at(now) - 1;
        refilled_at_ = now;
    }
}

std::optional<unsigned> ServerRate::concurrency(TimePoint now, Duration held) const {
    if (!limit_ || held <= Duration::zero() || now - confirmed_ > kConfirmationLifetime) {
        return std::nullopt;
    }
    return std::max(1U, static_cast<unsigned>(std::ceil(rate_per_s() * seconds_of(held))));
}

}  // namespace anisehold::admission
