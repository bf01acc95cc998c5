#include "store/table_store.hpp"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <ctime>
#include <nlohmann/json.hpp>
#include <random>

#include "protocol/message_digest.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::store {
namespace {

using config::CellChange;
using config::Table;
using config::TableRecord;
using config::TableRow;
using nlohmann::json;

/// History entries are kept in a ring of keys, so that the store does not grow. The ring covers 1.4 days at
/// 1,400 changes a day.
constexpr std::uint64_t kHistoryEntries = 2'000;
/// Digits of an entry's number in its key; part of the stored key format.
constexpr std::size_t kHistoryKeyDigits = 6;
/// Maximum number of write attempts for a change, each but the first onto a newer table.
constexpr int kMaxRebases = 5;
/// Number of reads that check whether a change took effect, and the pause between them: ten seconds in total,
/// or longer if the store is slow.
constexpr int kMaxSettleReads = 20;
constexpr milliseconds kSettlePause{500};
/// Random bytes of a change id, each encoded as two hex digits.
constexpr std::size_t kChangeIdBytes = 8;

std::string new_change_id() {
    std::random_device device;
    std::string bytes;
    for (std::size_t count = 0; count < kChangeIdBytes; ++count) {
        bytes.push_back(static_cast<char>(device() & 0xFFU));
    }
    return to_hex(bytes);
}

std::string utc_now() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

std::string history_key(std::uint64_t sequence) {
    std::string digits = std::to_string(sequence % kHistoryEntries);
    return kHistoryPrefix + std::string(kHistoryKeyDigits - digits.size(), '0') + digits;
}

std::string to_json_text(const HistoryEntry& entry) {
    json changes = json::array();
    for (const auto& change : entry.changes) {
        changes.push_back({{"row", change.row},
                           {"column", change.column},
                           {"before", change.before},
                           {"after", change.after}});
    }
    const json object{{"sequence", entry.sequence},
                      {"change_id", entry.change_id},
                      {"author", entry.author},
                      {"accepted_at", entry.accepted_at},
                      {"changes", std::move(changes)}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string text_member(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<HistoryEntry> parse_entry(const std::string& text) {
    const auto object = json::parse(text, nullptr, false);
    const bool shaped = object.is_object() && object.contains("sequence") &&
                        object["sequence"].is_number_unsigned() && object.contains("changes") &&
                        object["changes"].is_array();
    if (!shaped) {
        return std::nullopt;
    }
    HistoryEntry entry;
    entry.sequence = object["sequence"].get<std::uint64_t>();
    entry.change_id = text_member(object, "change_id");
    entry.author = text_member(object, "author");
    entry.accepted_at = text_member(object, "accepted_at");
    for (const auto& change : object["changes"]) {
        if (change.is_object()) {
            entry.changes.push_back({text_member(change, "row"), text_member(change, "column"),
                                     text_member(change, "before"), text_member(change, "after")});
        }
    }
    return entry;
}

/// Sets all cells of `row` in the current table to those of `wanted`, adding or removing the row as needed.
void copy_row(const Table& wanted, const std::string& name, Table& current) {
    const auto* source = wanted.find(name);
    const auto found = std::find_if(current.rows.begin(), current.rows.end(),
                                    [&](const TableRow& row) { return row.name == name; });
    if (source == nullptr) {
        if (found != current.rows.end()) {
            current.rows.erase(found);
        }
        return;
    }
    if (found == current.rows.end()) {
        current.rows.push_back(*source);
    } else {
        *found = *source;
    }
}

bool same_cell(const CellChange& left, const CellChange& right) {
    return left.row == right.row && left.column == right.column;
}

}  // namespace

std::vector<CellChange> rebase(const Table& base, const Table& wanted, Table& current) {
    const auto ours = config::changed_cells(base, wanted);
    const auto theirs = config::changed_cells(base, current);
    std::vector<CellChange> collisions;
    for (const auto& change : ours) {
        const auto other = std::find_if(theirs.begin(), theirs.end(),
                                        [&](const CellChange& each) { return same_cell(each, change); });
        if (other != theirs.end() && other->after != change.after) {
            collisions.push_back({change.row, change.column, other->after, change.after});
        }
    }
    if (!collisions.empty()) {
        return collisions;
    }
    for (const auto& change : ours) {
        const bool row_added_or_removed =
            base.find(change.row) == nullptr || wanted.find(change.row) == nullptr;
        if (row_added_or_removed) {
            copy_row(wanted, change.row, current);
        } else if (auto error = config::set_cell(current, change.row, change.column, change.after)) {
            collisions.push_back({change.row, change.column, "", change.after});
        }
    }
    return collisions;
}

std::optional<StoredTable> TableStore::load(std::error_code& error) {
    const auto result = store_.range(kTableKey, "", error);
    if (!result) {
        return std::nullopt;
    }
    StoredTable stored;
    if (result->values.empty()) {
        return stored;
    }
    auto parsed = config::parse_table_record(result->values.front().value);
    if (!parsed.errors.empty()) {
        error = std::make_error_code(std::errc::bad_message);
        return std::nullopt;
    }
    stored.record = std::move(parsed.record);
    stored.revision = result->values.front().mod_revision;
    return stored;
}

AcceptResult TableStore::accept(const StoredTable& base, const Table& wanted, const std::string& author) {
    AcceptResult result;
    result.change_id = new_change_id();
    StoredTable current = base;
    Table next = wanted;
    for (int attempt = 0; attempt < kMaxRebases; ++attempt) {
        if (const auto outcome = write_once(current, next, author, result)) {
            result.outcome = *outcome;
            return result;
        }
        std::error_code error;
        auto latest = load(error);
        if (!latest) {
            result.outcome = AcceptOutcome::kUnreachable;
            return result;
        }
        current = std::move(*latest);
        next = current.record.table;
        result.collisions = rebase(base.record.table, wanted, next);
        if (!result.collisions.empty()) {
            result.outcome = AcceptOutcome::kCollision;
            return result;
        }
        result.rebased = current.revision != base.revision;
    }
    result.outcome = AcceptOutcome::kUnreachable;
    return result;
}

std::optional<AcceptOutcome> TableStore::write_once(const StoredTable& current, const Table& next,
                                                    const std::string& author, AcceptResult& result) {
    result.errors = config::check_table(next);
    if (!result.errors.empty()) {
        return AcceptOutcome::kBadTable;
    }
    result.changes = config::changed_cells(current.record.table, next);
    if (result.changes.empty() && current.revision != 0) {
        return AcceptOutcome::kUnchanged;
    }
    const TableRecord record{current.record.sequence + 1, result.change_id, author, utc_now(), next};
    const HistoryEntry entry{record.sequence, record.change_id, author, record.accepted_at, result.changes};
    const auto swap = store_.compare_and_swap(
        kTableKey, current.revision,
        {{kTableKey, config::to_json_text(record)}, {history_key(record.sequence), to_json_text(entry)}});
    switch (swap.outcome) {
        case SwapOutcome::kDone:
            result.revision = swap.revision;
            return AcceptOutcome::kAccepted;
        case SwapOutcome::kRefused:
            return AcceptOutcome::kUnreachable;
        case SwapOutcome::kUnknown:
            return settle(result);
        case SwapOutcome::kConflict:
            break;
    }
    return std::nullopt;
}

std::optional<AcceptOutcome> TableStore::settle(AcceptResult& result) {
    for (int attempt = 0; attempt < kMaxSettleReads; ++attempt) {
        std::error_code error;
        const auto stored = load(error);
        const bool in_force = stored && stored->record.change_id == result.change_id;
        if (in_force || (stored && find_change(result.change_id, error))) {
            result.revision = stored->revision;
            return AcceptOutcome::kAccepted;
        }
        if (stored && !error) {
            return std::nullopt;
        }
        boost::this_fiber::sleep_for(kSettlePause);
    }
    return AcceptOutcome::kUnknown;
}

std::optional<std::vector<HistoryEntry>> TableStore::history(std::size_t limit, std::error_code& error) {
    const auto result = store_.range(kHistoryPrefix, prefix_end(kHistoryPrefix), error);
    if (!result) {
        return std::nullopt;
    }
    std::vector<HistoryEntry> entries;
    for (const auto& value : result->values) {
        if (auto entry = parse_entry(value.value)) {
            entries.push_back(std::move(*entry));
        }
    }
    std::sort(entries.begin(), entries.end(), [](const HistoryEntry& left, const HistoryEntry& right) {
        return left.sequence > right.sequence;
    });
    entries.resize(std::min(entries.size(), limit));
    return entries;
}

std::optional<HistoryEntry> TableStore::find_change(const std::string& change_id, std::error_code& error) {
    const auto entries = history(kHistoryEntries, error);
    if (!entries) {
        return std::nullopt;
    }
    const auto found = std::find_if(entries->begin(), entries->end(),
                                    [&](const HistoryEntry& entry) { return entry.change_id == change_id; });
    return found == entries->end() ? std::nullopt : std::optional(*found);
}

}  // namespace anisehold::store
