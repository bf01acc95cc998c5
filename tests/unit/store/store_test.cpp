#include <catch2/catch.hpp>

#include "config/table.hpp"
#include "store/base64.hpp"
#include "store/machine_list.hpp"
#include "store/table_store.hpp"

using namespace anisehold;
using namespace anisehold::store;

namespace {

constexpr const char* kCsv =
    "name,kind,match,priority,weight,limit,timeout_ms,retries,repeatable\n"
    "a,service,,1,1,10,1000,0,yes\n"
    "b,service,,2,1,10,1000,0,yes\n";

/// In-memory store that can lose responses or run another operator's change before a swap.
class FakeStore final : public KeyValueStore {
  public:
    std::optional<RangeResult> range(const std::string& first, const std::string& end,
                                     std::error_code& error) override {
        if (down) {
            error = std::make_error_code(std::errc::timed_out);
            return std::nullopt;
        }
        RangeResult result;
        result.store_revision = revision;
        for (const auto& value : values) {
            const bool fits = end.empty() ? value.key == first : value.key >= first && value.key < end;
            if (fits) {
                result.values.push_back(value);
            }
        }
        return result;
    }
    SwapResult compare_and_swap(const std::string& key, std::uint64_t expected,
                                const std::vector<Put>& puts) override {
        if (before_swap) {
            std::exchange(before_swap, {})();
        }
        std::uint64_t current = 0;
        for (const auto& value : values) {
            current = value.key == key ? value.mod_revision : current;
        }
        if (current != expected) {
            return {SwapOutcome::kConflict, revision, {}};
        }
        ++revision;
        for (const auto& put : puts) {
            std::erase_if(values, [&](const KeyValue& value) { return value.key == put.key; });
            values.push_back({put.key, put.value, revision});
        }
        if (lose_answer) {
            return {SwapOutcome::kUnknown, 0, std::make_error_code(std::errc::connection_reset)};
        }
        return {SwapOutcome::kDone, revision, {}};
    }
    std::error_code watch(const std::string& /*first*/, const std::string& /*end*/, std::uint64_t /*start*/,
                          const std::function<bool(const KeyValue&)>& /*on_change*/) override {
        return {};
    }

    std::vector<KeyValue> values;
    std::uint64_t revision = 1;
    bool lose_answer = false;
    bool down = false;
    std::function<void()> before_swap;
};

config::Table with_cell(config::Table table, const std::string& row, const std::string& column,
                        const std::string& value) {
    REQUIRE_FALSE(config::set_cell(table, row, column, value));
    return table;
}

struct Editing {
    Editing() : tables(store), table(config::parse_table_csv(kCsv).table) {
        REQUIRE(tables.accept({}, table, "first").outcome == AcceptOutcome::kAccepted);
    }
    StoredTable load() {
        std::error_code error;
        return *tables.load(error);
    }

    FakeStore store;
    TableStore tables;
    config::Table table;
};

}  // namespace

TEST_CASE("base64 follows RFC 4648") {
    for (const auto* text : {"", "f", "fo", "foo", "foob", "fooba", "foobar"}) {
        CHECK(base64_decode(base64_encode(text)) == text);
    }
    CHECK(base64_encode("foob") == "Zm9vYg==");
    CHECK_FALSE(base64_decode("abc"));
    CHECK_FALSE(base64_decode("ab!="));
}

TEST_CASE("a malformed machine list is refused as a whole") {
    CHECK(parse_machine_list(
              R"([{"targets":["127.0.0.1:1"],"labels":{"service":"s","zone":"z","state":"leaving"}}])")
              ->front()
              .leaving);
    for (const auto* text :
         {"", "{}", "[3]", R"([{"targets":["localhost:1"],"labels":{"service":"s","zone":"z"}}])",
          R"([{"targets":[1],"labels":{"service":"s","zone":"z"}}])",
          R"([{"targets":[],"labels":{"service":"s"}}])"}) {
        CHECK_FALSE(parse_machine_list(text));
    }
}

TEST_CASE("two operators that change different cells both succeed") {
    Editing editing;
    const auto base = editing.load();
    editing.store.before_swap = [&] {
        editing.tables.accept(base, with_cell(editing.table, "a", "limit", "11"), "other");
    };
    const auto result = editing.tables.accept(base, with_cell(editing.table, "b", "limit", "12"), "me");
    CHECK(result.outcome == AcceptOutcome::kAccepted);
    CHECK(result.rebased);
    CHECK(editing.load().record.table.find("a")->limit == 11);
    CHECK(editing.load().record.table.find("b")->limit == 12);
}

TEST_CASE("the second of two operators that change the same cell gets a collision") {
    Editing editing;
    const auto base = editing.load();
    editing.store.before_swap = [&] {
        editing.tables.accept(base, with_cell(editing.table, "a", "limit", "11"), "other");
    };
    const auto result = editing.tables.accept(base, with_cell(editing.table, "a", "limit", "12"), "me");
    CHECK(result.outcome == AcceptOutcome::kCollision);
    REQUIRE(result.collisions.size() == 1);
    CHECK(result.collisions.front() == config::CellChange{"a", "limit", "11", "12"});
    CHECK(editing.load().record.table.find("a")->limit == 11);
}

TEST_CASE("a lost response is resolved by reading back, and the change is applied once") {
    Editing editing;
    const auto base = editing.load();
    editing.store.lose_answer = true;
    const auto result = editing.tables.accept(base, with_cell(editing.table, "a", "limit", "11"), "me");
    CHECK(result.outcome == AcceptOutcome::kAccepted);
    CHECK(editing.load().record.change_id == result.change_id);
    CHECK(editing.load().record.sequence == 2);
    std::error_code error;
    CHECK(editing.tables.find_change(result.change_id, error)->changes.front().after == "11");
    CHECK_FALSE(editing.tables.find_change("no-such-change", error));
}

TEST_CASE("a table with a bad cell is not accepted") {
    Editing editing;
    auto bad = editing.table;
    bad.rows.push_back(bad.rows.front());
    CHECK(editing.tables.accept(editing.load(), bad, "me").outcome == AcceptOutcome::kBadTable);
    CHECK(editing.tables.accept(editing.load(), editing.table, "me").outcome == AcceptOutcome::kUnchanged);
}
