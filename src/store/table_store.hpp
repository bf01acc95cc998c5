/// @file
/// Reading and changing the operators' table in the store: the one path for the command line and the page.
/// The table lies under one key, its history under a ring of keys. Owns nothing; relies on a store with
/// compare-and-swap, which settles what happens when two operators change the table at once.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/table.hpp"
#include "store/key_value_store.hpp"

namespace anisehold::store {

/// The table as the store has it.
struct StoredTable {
    config::TableRecord record;
    std::uint64_t revision = 0;  ///< 0 if there is none yet.
};

/// One accepted change, as kept in the history.
struct HistoryEntry {
    std::uint64_t sequence = 0;
    std::string change_id;
    std::string author;
    std::string accepted_at;
    std::vector<config::CellChange> changes;
};

enum class AcceptOutcome {
    kAccepted,
    kUnchanged,    ///< The store has this very table.
    kCollision,    ///< Another change was accepted meanwhile and touches the same cells.
    kUnknown,      ///< No answer came and the store can't be asked; `outcome CHANGE-ID` answers later.
    kUnreachable,  ///< The store can't be reached; nothing was written.
    kBadTable,
};

struct AcceptResult {
    AcceptOutcome outcome = AcceptOutcome::kUnreachable;
    std::string change_id;
    std::uint64_t revision = 0;               ///< When accepted.
    bool rebased = false;                     ///< Another change was accepted meanwhile; both are in force.
    std::vector<config::CellChange> changes;  ///< The cells that were, or would have been, changed.
    std::vector<config::CellChange> collisions;  ///< "before" is the other operator's value, "after" ours.
    std::vector<config::TableError> errors;      ///< When the table is bad.
};

/// Table operations over a store. Blocks the calling fiber.
class TableStore {
  public:
    explicit TableStore(KeyValueStore& store) : store_(store) {}

    /// The table in the store; nothing if the store doesn't answer or holds a malformed record.
    std::optional<StoredTable> load(std::error_code& error);
    /// Replaces `base` by `wanted` in one compare-and-swap. If another change came between, the cells that
    /// don't collide are rebased onto it. A lost answer is settled by reading back the change id.
    AcceptResult accept(const StoredTable& base, const config::Table& wanted, const std::string& author);
    /// The history, newest first, at most `limit` entries.
    std::optional<std::vector<HistoryEntry>> history(std::size_t limit, std::error_code& error);
    /// The entry of a change; nothing without an error means that it was never accepted (or is too old).
    std::optional<HistoryEntry> find_change(const std::string& change_id, std::error_code& error);

  private:
    /// Writes `next` in place of `current`. Nothing if another change came between; `result` gets all but the
    /// outcome.
    std::optional<AcceptOutcome> write_once(const StoredTable& current, const config::Table& next,
                                            const std::string& author, AcceptResult& result);
    /// After a write without an answer: asks the store until it answers whether the change took effect.
    /// Nothing if it didn't; `kUnknown` if the store doesn't answer for some ten seconds.
    std::optional<AcceptOutcome> settle(AcceptResult& result);

    KeyValueStore& store_;
};

/// Puts the cells changed between `base` and `wanted` onto `current`. Cells that `current` changed to
/// something else since `base` are returned as collisions and left.
std::vector<config::CellChange> rebase(const config::Table& base, const config::Table& wanted,
                                       config::Table& current);

}  // namespace anisehold::store
