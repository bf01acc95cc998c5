/// @file
/// The rate of requests that a server says it takes, and whether it may be sent one now.
///
/// Owns what the server's answers said last, and a token bucket of that rate. Relies on its caller for the
/// clock, to report each answer, and to take one token for each request that is sent, whatever it is sent
/// for. Pure.
#pragma once

#include <cstddef>
#include <optional>

#include "protocol/request_rate.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// What an answer, or a caller's report, changed.
enum class RateChange { kNone, kStarted, kChanged, kEnded };

/// The rate limit of one start of a server. Without one, every request may be sent.
class ServerRate {
  public:
    /// The server answered a request that was sent to it at `sent`. An answer that names no limit ends the
    /// one in force, unless it may have been written before that was named.
    RateChange on_answer(TimePoint now, TimePoint sent, std::optional<RequestRate> named);
    /// A daemon that passed on an answer with this limit reports it. Taken only while no answer of the server
    /// was read here.
    RateChange on_report(TimePoint now, RequestRate reported);

    /// The limit in force.
    const std::optional<RequestRate>& limit() const { return limit_; }
    /// Time since the limit in force was last named; 0 without one.
    Duration age(TimePoint now) const { return limit_ ? now - last_named_ : Duration::zero(); }
    /// How long until the request that waits behind `before` others may be sent; 0 without a limit.
    Duration wait(TimePoint now, std::size_t before) const;
    bool may_send(TimePoint now) const { return wait(now, 0) <= Duration::zero(); }
    void on_sent(TimePoint now);
    /// Most requests that run at the same time at this rate, if each takes `held`; nothing without a limit,
    /// and if neither an answer nor a refusal has confirmed it for a while: callers must come back and find
    /// out.
    std::optional<unsigned> concurrency(TimePoint now, Duration held) const;
    /// A request was refused because of the limit.
    void on_refused(TimePoint now) { confirmed_ = now; }

  private:
    RateChange take(TimePoint now, RequestRate rate);
    double tokens_at(TimePoint now) const;
    double rate_per_s() const;

    std::optional<RequestRate> limit_;
    bool has_answered_ = false;  ///< An answer of the server was read here.
    TimePoint last_named_;
    TimePoint confirmed_;
    double tokens_ = 0;
    TimePoint refilled_at_;  ///< When `tokens_` was right.
};

}  // namespace anisehold::admission
