/// @file
/// The log lines about a server's rate limit, bounded in number. Owns when the next ones may be written.
#pragma once

#include <cstdint>
#include <string>

#include "admission/server_rate.hpp"

namespace anisehold::sidecar {

/// In requests a second; empty without a limit.
std::string rate_text(const std::optional<RequestRate>& rate);

/// Who named a rate limit.
enum class RateSource { kAnswer, kCaller, kHealth };

/// A change of a server's rate limit.
struct RateMove {
    admission::RateChange change = admission::RateChange::kNone;
    RateSource source = RateSource::kAnswer;
    Duration age{};  ///< Since it was last named before.
};

/// Of one start of a server.
class RateLines {
  public:
    explicit RateLines(std::string instance) : instance_(std::move(instance)) {}

    /// `rate`: after the change. A limit that only moved gets one line a second at most.
    void on_change(TimePoint now, const admission::ServerRate& rate, const RateMove& move);
    /// A request was refused because of the limit: one line a second at most, with their number.
    void on_refused(TimePoint now, const admission::ServerRate& rate);
    /// An answer names a limit that can't be read; the first one is told.
    void on_malformed();

  private:
    std::string instance_;
    TimePoint next_move_;
    TimePoint next_refusal_;
    std::uint64_t refused_ = 0;  ///< Since the last line.
    bool has_told_malformed_ = false;
};

}  // namespace anisehold::sidecar
