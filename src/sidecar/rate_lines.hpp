/// @file
/// Log lines about a server's rate limit, limited in number. Owns the times when the next lines may be
/// written.
#pragma once

#include <cstdint>
#include <string>

#include "admission/server_rate.hpp"

namespace anisehold::sidecar {

/// Formats a rate in requests per second; empty without a limit.
std::string rate_text(const std::optional<RequestRate>& rate);

/// Source of a rate limit.
enum class RateSource { kAnswer, kCaller, kHealth };

/// A change of a server's rate limit.
struct RateLimitChange {
    admission::RateChange change = admission::RateChange::kNone;
    RateSource source = RateSource::kAnswer;
    Duration age{};  ///< Time since the limit was last stated.
};

/// Writes the lines for one start of a server.
class RateLines {
  public:
    explicit RateLines(std::string instance) : instance_(std::move(instance)) {}

    /// Logs a change; `rate` is the state after the change. Changes of the value are limited to one line a
    /// second.
    void on_change(TimePoint now, const admission::ServerRate& rate, const RateLimitChange& move);
    /// Records that a request was refused because of the limit; logs the number of such requests at most once
    /// a second.
    void on_refused(TimePoint now, const admission::ServerRate& rate);
    /// Records that a response states a malformed limit; only the first one is logged.
    void on_malformed();

  private:
    std::string instance_;
    TimePoint next_move_;
    TimePoint next_refusal_;
    std::uint64_t refused_ = 0;  ///< Refused requests since the last line.
    bool logged_malformed_ = false;
};

}  // namespace anisehold::sidecar
