#include "admission/server_rate.hpp"

#include <algorithm>
#include <cmath>

namespace anisehold::admission {
namespace {

/// Burst size of the token bucket, in seconds of the rate. The burst evens out random arrivals and adds a
/// sixteenth to the requests that the server receives in four seconds.
constexpr double kBurstS = 0.25;
/// Minimum burst of one request, for rates that allow less than one in `kBurstS`.
constexpr double kMinBurst = 1;
/// Minimum rate of one request in four seconds, whatever the limit: without a response the end of the limit
/// would go unnoticed.
constexpr double kMinRatePerS = 0.25;
/// A limit that neither a response nor a refusal has confirmed for this time no longer keeps callers away.
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

RateChange ServerRate::apply_limit(TimePoint now, RequestRate rate) {
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
        return apply_limit(now, *named);
    }
    if (!limit_ || sent < last_named_) {
        return RateChange::kNone;
    }
    limit_.reset();
    return RateChange::kEnded;
}

RateChange ServerRate::on_report(TimePoint now, RequestRate reported) {
    return has_answered_ || limit_ ? RateChange::kNone : apply_limit(now, reported);
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
