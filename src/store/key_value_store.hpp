/// @file
/// Interface of the table daemon's key-value store, limited to the operations in use: ranges,
/// compare-and-swap and watches. Owns no state. Sidecars use a different store, store/coordination_store.
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

/// Outcome of a compare-and-swap as far as it is known.
enum class SwapOutcome {
    kDone,
    kConflict,  ///< The compared key had a different revision; nothing was written.
    kRefused,   ///< The store was unreachable or rejected the request; nothing was written.
    kUnknown,   ///< No response arrived; the write may have been applied.
};

struct SwapResult {
    SwapOutcome outcome = SwapOutcome::kUnknown;
    std::uint64_t revision = 0;  ///< Revision of the writes; valid if done.
    std::error_code error;
};

/// The store behind its published protocol. Every call blocks its fiber.
class KeyValueStore {
  public:
    virtual ~KeyValueStore() = default;

    /// Keys from `first` up to but excluding `end`; only `first` if `end` is empty. Empty, with `error` set,
    /// if there is no well-formed response.
    virtual std::optional<RangeResult> range(const std::string& first, const std::string& end,
                                             std::error_code& error) = 0;
    /// Writes `puts` if the latest change of `compared_key` is at `revision` (0: the key does not exist).
    virtual SwapResult compare_and_swap(const std::string& compared_key, std::uint64_t revision,
                                        const std::vector<Put>& puts) = 0;
    /// Calls `on_change` for each change starting at `start_revision`, until the watch fails or `on_change`
    /// returns false.
    virtual std::error_code watch(const std::string& first, const std::string& end,
                                  std::uint64_t start_revision,
                                  const std::function<bool(const KeyValue&)>& on_change) = 0;
};

/// The exclusive end of the range of all keys that start with `prefix`.
std::string prefix_end(std::string prefix);

/// Keys used by anisehold.
inline constexpr const char* kTableKey = "/anisehold/table";
inline constexpr const char* kHolderViewKey = "/anisehold/holders";
inline constexpr const char* kHistoryPrefix = "/anisehold/history/";

}  // namespace anisehold::store
