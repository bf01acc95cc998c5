/// @file
/// Reads and changes the operators' table in the store, for both the command line and the admin page. The
/// table is stored under one key, its history under a ring of keys. Owns no state; relies on the store's
/// compare-and-swap to resolve concurrent changes by operators.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/table.hpp"
#include "store/key_value_store.hpp"

namespace anisehold::store {

/// The table as stored.
struct StoredTable {
    config::TableRecord record;
    std::uint64_t revision = 0;  ///< 0 if no table exists yet.
};

/// One accepted change in the history.
struct HistoryEntry {
    std::uint64_t sequence = 0;
    std::string change_id;
    std::string author;
    std::string accepted_at;
    std::vector<config::CellChange> changes;
};

enum class AcceptOutcome {
    kAccepted,
    kUnchanged,    ///< The stored table is identical.
    kCollision,    ///< A concurrently accepted change modifies the same cells.
    kUnknown,      ///< No response arrived and the store cannot be queried; the command `outcome CHANGE-ID`
                   ///< reports the outcome later.
    kUnreachable,  ///< The store is unreachable; nothing was written.
    kBadTable,
};

struct AcceptResult {
    AcceptOutcome outcome = AcceptOutcome::kUnreachable;
    std::string change_id;
    std::uint64_t revision = 0;  ///< Revision of the accepted change.
    bool rebased = false;  ///< The change was rebased onto a concurrently accepted change; both are in force.
    std::vector<config::CellChange> changes;  ///< The cells that were changed, or would have been.
    std::vector<config::CellChange>
        collisions;  ///< "before" is the other operator's value, "after" the value of this change.
    std::vector<config::TableError> errors;  ///< Errors of a bad table.
};

/// Table operations on a store. Block the calling fiber.
class TableStore {
  public:
    explicit TableStore(KeyValueStore& store) : store_(store) {}

    /// The stored table; empty if the store does not respond or contains a malformed record.
    std::optional<StoredTable> load(std::error_code& error);
    /// Replaces `base` by `wanted` in one compare-and-swap. If another change was accepted in between, the
    /// cells that do not collide are rebased onto it. If the response is lost, the outcome is determined by
    /// reading back the change id.
    AcceptResult accept(const StoredTable& base, const config::Table& wanted, const std::string& author);
    /// The history, newest first, limited to `limit` entries.
    std::optional<std::vector<HistoryEntry>> history(std::size_t limit, std::error_code& error);
    /// The history entry of a change. Empty without an error means that the change was never accepted or its
    /// entry has been overwritten.
    std::optional<HistoryEntry> find_change(const std::string& change_id, std::error_code& error);

  private:
    /// Writes `next` in place of `current`. Empty if another change was accepted in between; `result`
    /// receives everything except the outcome.
    std::optional<AcceptOutcome> write_once(const StoredTable& current, const config::Table& next,
                                            const std::string& author, AcceptResult& result);
    /// After a write without a response, queries the store until it reports whether the change took effect.
    /// Empty if the change did not take effect; `kUnknown` if the store does not respond for about ten
    /// seconds.
    std::optional<AcceptOutcome> settle(AcceptResult& result);

    KeyValueStore& store_;
};

/// Applies the cells changed between `base` and `wanted` to `current`. Cells that `current` changed to a
/// different value since `base` are returned as collisions and left unchanged.
std::vector<config::CellChange> rebase(const config::Table& base, const config::Table& wanted,
                                       config::Table& current);

}  // namespace anisehold::store
