/// @file
/// The key-value store of the table daemon, as far as it is used: ranges, compare-and-swap and watches. The
/// sidecar's store is another one, store/coordination_store.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace anisehold::store {

/// A key with its value and the store revision that last changed it.
struct KeyValue {
    std::string key;
    std::string value;
    std::uint64_t mod_revision = 0;
};

struct RangeResult {
    std::vector<KeyValue> values;
    std::uint64_t store_revision = 0;
};

/// One key to write.
struct Put {
    std::string key;
    std::string value;
};

/// What is known after a compare-and-swap.
enum class SwapOutcome {
    kDone,
    kConflict,  ///< The compared key had another revision; nothing was written.
    kRefused,   ///< The store could not be reached or refused to act; nothing was written.
    kUnknown,   ///< No answer came; it may have been written.
};

struct SwapResult {
    SwapOutcome outcome = SwapOutcome::kUnknown;
    std::uint64_t revision = 0;  ///< Of the writes, when done.
    std::error_code error;
};

/// The store behind its published protocol. Every call blocks its fiber.
class KeyValueStore {
  public:
    virtual ~KeyValueStore() = default;

    /// Keys from `first` up to, not including, `end`; only `first` if `end` is empty. Nothing, and the
    /// reason, without a well-formed answer.
    virtual std::optional<RangeResult> range(const std::string& first, const std::string& end,
                                             std::error_code& error) = 0;
    /// Writes `puts` if `compared_key` was last changed at `revision` (0: doesn't exist).
    virtual SwapResult compare_and_swap(const std::string& compared_key, std::uint64_t revision,
                                        const std::vector<Put>& puts) = 0;
    /// Calls `on_change` for each change from `start_revision` on, until the watch breaks or `on_change`
    /// returns false.
    virtual std::error_code watch(const std::string& first, const std::string& end,
                                  std::uint64_t start_revision,
                                  const std::function<bool(const KeyValue&)>& on_change) = 0;
};

/// The end of the range of all keys that start with `prefix`.
std::string prefix_end(std::string prefix);

/// Keys that this project uses.
inline constexpr const char* kTableKey = "/anisehold/table";
inline constexpr const char* kHolderViewKey = "/anisehold/holders";
inline constexpr const char* kHistoryPrefix = "/anisehold/history/";

}  // namespace anisehold::store
