/// @file
/// The store that sidecars coordinate through: revisions, conditions and watches. platform/store_client is
/// the implementation; it makes calls and translates, without a retry or a decision. The table daemon's store
/// is another one, store/key_value_store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::store {

/// What is known after a call.
enum class CallOutcome {
    kDone,
    kNotFound,     ///< No such key.
    kConflict,     ///< A condition doesn't hold; nothing was written.
    kHistoryLost,  ///< The revision that a watch was to start from is no longer kept.
    kRefused,      ///< The store refused to act; nothing was done.
    kUnknown,      ///< No answer came; a write may have been done, or may still be.
};

/// Stable lower-case name of an outcome, for logs.
std::string_view call_outcome_name(CallOutcome outcome);

/// A key with its value and the store revision that last changed it.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;  ///< Not used when it is to be written.
};

/// Most items of one write, by the store's protocol.
inline constexpr std::size_t kMaxItemsPerWrite = 32;

struct ReadReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    StoreItem item;
    std::uint64_t store_revision = 0;
};

struct ListReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    std::vector<StoreItem> items;
    std::size_t unreadable = 0;  ///< Items that aren't as the protocol has them; they are left out.
    bool more = false;           ///< Another page starts after the last item.
    std::uint64_t store_revision = 0;
};

struct WatchReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    std::vector<StoreItem> changed;    ///< Written items, oldest first.
    std::size_t unreadable = 0;        ///< As in `ListReply`.
    std::uint64_t store_revision = 0;  ///< Where the next watch starts.
};

struct WriteReply {
    CallOutcome outcome = CallOutcome::kUnknown;
    std::uint64_t revision = 0;
};

/// How old the answer to a read may be.
enum class ReadMode {
    kLatest,      ///< All that was acknowledged before the call is seen.
    kMayBeStale,  ///< May be seconds old; costs a tenth and isn't counted towards the store's rate.
};

/// The store behind its published protocol. Every call blocks its fiber until `deadline` at the latest.
class CoordinationStore {
  public:
    virtual ~CoordinationStore() = default;

    virtual ReadReply read(const std::string& key, ReadMode mode, TimePoint deadline) = 0;
    /// Items whose keys begin with `prefix`, from the one after `after`.
    virtual ListReply list(const std::string& prefix, const std::string& after, ReadMode mode,
                           TimePoint deadline) = 0;
    /// Changes below `prefix` after a revision; comes back without any once `wait` is over.
    virtual WatchReply watch(const std::string& prefix, std::uint64_t after_revision, milliseconds wait) = 0;
    /// Writes keys and values, all or none, whatever the revisions; at most `kMaxItemsPerWrite` of them.
    virtual WriteReply write(const std::vector<StoreItem>& items, TimePoint deadline) = 0;
    /// Removes one key if `revision` is still its latest change; a conflict otherwise.
    virtual WriteReply remove(const std::string& key, std::uint64_t revision, TimePoint deadline) = 0;
};

}  // namespace anisehold::store
