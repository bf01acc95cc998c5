/// @file
/// Stores small responses of completed non-repeatable requests for callers that lost them.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/stored_answer.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::daemon {

/// Bounded by total size and by age; the oldest responses are evicted first. Pure.
class AnswerStore {
  public:
    /// Maximum size of one stored response including its key, and of all stored responses together.
    static constexpr std::size_t kMaxAnswerBytes = 16 * 1024;
    static constexpr std::size_t kMaxTotalBytes = 32 * 1024 * 1024;

    explicit AnswerStore(Duration window) : window_(window) {}

    /// Stores a response. A response that is too large, or a second one for a key, is ignored.
    void keep(TimePoint now, const std::string& key, StoredAnswer answer);
    std::optional<StoredAnswer> find(const std::string& key) const;
    std::size_t bytes() const { return bytes_; }

  private:
    struct Entry {
        std::string key;
        TimePoint kept_at;
        std::size_t bytes = 0;
    };

    Duration window_;
    std::size_t bytes_ = 0;
    std::deque<Entry> order_;
    std::unordered_map<std::string, StoredAnswer> answers_;
};

}  // namespace anisehold::daemon
