/// @file
/// Client-side enforcement of the request rate that a server names in its responses.
///
/// Owns the last rate that the server named and a token bucket of that rate. The caller provides the clock,
/// reports each response, and takes one token for each request sent, whatever its purpose. Pure.
#pragma once

#include <cstddef>
#include <optional>

#include "protocol/request_rate.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// How a response or a caller's report changed the limit.
enum class RateChange { kNone, kStarted, kChanged, kEnded };

/// The rate limit of one server process. Without a limit, every request may be sent.
class ServerRate {
  public:
    /// The server responded to a request sent at `sent`. A response that names no limit ends the limit in
    /// force, unless the response may have been written before the server named that limit.
    RateChange on_answer(TimePoint now, TimePoint sent, std::optional<RequestRate> named);
    /// A daemon that forwarded a response reported the limit named in the response. Ignored once a response
    /// of the server has been read here.
    RateChange on_report(TimePoint now, RequestRate reported);

    const std::optional<RequestRate>& limit() const { return limit_; }
    /// Time since the server last named the limit in force; 0 without a limit.
    Duration age(TimePoint now) const { return limit_ ? now - last_named_ : Duration::zero(); }
    /// Time until the request that waits behind `before` others may be sent; 0 without a limit.
    Duration wait(TimePoint now, std::size_t before) const;
    bool may_send(TimePoint now) const { return wait(now, 0) <= Duration::zero(); }
    void on_sent(TimePoint now);
    /// Maximum concurrency at this rate if each request takes `held`. Empty without a limit, and if neither a
    /// response nor a refusal has confirmed the limit recently: callers must then return to find out whether
    /// the limit has ended.
    std::optional<unsigned> concurrency(TimePoint now, Duration held) const;
    /// A request was refused because of the limit, which confirms the limit.
    void on_refused(TimePoint now) { confirmed_ = now; }

  private:
    RateChange apply_limit(TimePoint now, RequestRate rate);
    double tokens_at(TimePoint now) const;
    double rate_per_s() const;

    std::optional<RequestRate> limit_;
    bool has_answered_ = false;  ///< A response of the server was read here.
    TimePoint last_named_;
    TimePoint confirmed_;
    double tokens_ = 0;
    TimePoint refilled_at_;  ///< Time at which `tokens_` was last updated.
};

}  // namespace anisehold::admission
