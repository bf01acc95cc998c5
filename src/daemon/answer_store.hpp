/// @file
/// Small answers of completed non-repeatable requests, kept for callers that lost them.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/stored_answer.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::daemon {

/// Bounded by bytes and by age; the oldest answers go first. Pure.
class AnswerStore {
  public:
    /// Largest answer that is kept, with its key, and most bytes of all. Chosen, not measured.
    static constexpr std::size_t kLargestAnswerBytes = 16 * 1024;
    static constexpr std::size_t kMostBytes = 32 * 1024 * 1024;

    explicit AnswerStore(Duration window) : window_(window) {}

    /// Keeps an answer; too large a one is not kept, nor a second one of a key.
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
