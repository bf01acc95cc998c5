/// @file
/// Interface of the store through which sidecars coordinate: revisions, conditional writes and watches. Owns
/// no state. platform/store_client implements it; the implementation only performs and translates calls,
/// without retries or decisions. The table daemon uses a different store, store/key_value_store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::store {

/// Outcome of a call as far as it is known.
enum class CallOutcome {
    kDone,
    kNotFound,     ///< No such key.
    kConflict,     ///< A condition was not met; nothing was written.
    kHistoryLost,  ///< The requested start revision of a watch is no longer kept.
    kRefused,      ///< The store rejected the call; nothing was done.
    kUnknown,      ///< No response arrived; a write may have been applied or may still be.
};

/// Stable lower-case name of an outcome, for logs.
std::string_view call_outcome_name(CallOutcome outcome);

/// A key with its value and the store revision that last changed it.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;  ///< Ignored in writes.
};

/// Maximum number of items in one write, by the store's protocol.
inline constexpr std::size_t kMaxItemsPerWrite = 32;

struct ReadReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    StoreItem item;
    std::uint64_t store_revision = 0;
};

struct ListReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    std::vector<StoreItem> items;
    std::size_t unreadable = 0;  ///< Number of malformed items, which are omitted.
    bool more = false;           ///< Another page follows after the last item.
    std::uint64_t store_revision = 0;
};

struct WatchReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    std::vector<StoreItem> changed;    ///< Written items, oldest first.
    std::size_t unreadable = 0;        ///< Number of malformed items, which are omitted.
    std::uint64_t store_revision = 0;  ///< Start revision of the next watch.
};

struct WriteReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    std::uint64_t revision = 0;
};

/// Consistency of a read.
enum class ReadMode {
    kLatest,      ///< Reflects all writes acknowledged before the call.
    kMayBeStale,  ///< The result may be seconds old. Costs a tenth of a latest read and does not count
                  ///< towards the store's rate limit.
};

/// The store behind its published protocol. Every call blocks its fiber, at most until `deadline`.
class CoordinationStore {
  public:
    virtual ~CoordinationStore() = default;

    virtual ReadReply read(const std::string& key, ReadMode mode, TimePoint deadline) = 0;
    /// Items whose keys begin with `prefix`, starting after the key `after`.
    virtual ListReply list(const std::string& prefix, const std::string& after, ReadMode mode,
                           TimePoint deadline) = 0;
    /// Changes below `prefix` after a revision; returns without changes after `wait`.
    virtual WatchReply watch(const std::string& prefix, std::uint64_t after_revision, milliseconds wait) = 0;
    /// Writes keys and values atomically, regardless of revisions; at most `kMaxItemsPerWrite` items.
    virtual WriteReply write(const std::vector<StoreItem>& items, TimePoint deadline) = 0;
    /// Removes a key if `revision` is its latest change; returns a conflict otherwise.
    virtual WriteReply remove(const std::string& key, std::uint64_t revision, TimePoint deadline) = 0;
};

}  // namespace anisehold::store
