#include <catch2/catch.hpp>

#include "claims/holder_view.hpp"
#include "config/table.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/member_listing.hpp"
#include "sidecar/peer_exchange.hpp"
#include "store/machine_list.hpp"
#include "store/table_store.hpp"
#include "suspects/crash_report.hpp"
#include "wire_samples.hpp"

using namespace anisehold;

namespace {

/// In-memory store that records writes in order.
class KeptWrites final : public store::KeyValueStore {
  public:
    std::optional<store::RangeResult> range(const std::string& first, const std::string& end,
                                            std::error_code& /*error*/) override {
        asked.push_back(first + " to " + end);
        store::RangeResult result;
        for (const auto& value : values) {
            const bool fits = end.empty() ? value.key == first : value.key >= first && value.key < end;
            if (fits) {
                result.values.push_back(value);
            }
        }
        return result;
    }
    store::SwapResult compare_and_swap(const std::string& key, std::uint64_t revision,
                                       const std::vector<store::Put>& puts) override {
        swaps.push_back("if " + key + " is at " + std::to_string(revision));
        for (const auto& put : puts) {
            values.push_back({put.key, put.value, values.size() + 1});
        }
        return {store::SwapOutcome::kDone, values.size(), {}};
    }
    std::error_code watch(const std::string& /*first*/, const std::string& /*end*/, std::uint64_t /*start*/,
                          const std::function<bool(const store::KeyValue&)>& /*on_change*/) override {
        return {};
    }

    std::vector<store::KeyValue> values;
    std::vector<std::string> asked;
    std::vector<std::string> swaps;
};

config::Table full_table() {
    using config::RowKind;
    config::Table table;
    table.rows.push_back(
        {"bookings", RowKind::kService, "", "bookings", "", 1, 2, 15, milliseconds(3'001), 4, true});
    table.rows.push_back(
        {"book", RowKind::kRequest, "POST", "bookings", "/bookings", 6, 7, 8, milliseconds(9'010), 3, false});
    config::TableRow defaults;
    defaults.name = "plain";
    defaults.service = "plain";
    table.rows.push_back(defaults);
    return table;
}

config::TableRecord full_record() {
    return {11, "0123456789abcdef", "an \"author\"", "2031-02-03T04:05:06Z", full_table()};
}

void replace(std::string& text, const std::string& part, const std::string& by) {
    const auto place = text.find(part);
    REQUIRE(place != std::string::npos);
    text.replace(place, part.size(), by);
}

}  // namespace

TEST_CASE("a table keeps its text as CSV", "[golden]") {
    golden::check("table.csv", config::to_csv(full_table()));
    const auto read = config::parse_table_csv(golden::content_of("table.csv"));
    CHECK(read.errors.empty());
    CHECK(read.table == full_table());
    golden::check("table-empty.csv", config::to_csv({}));
    // An empty table is encoded but rejected when parsed.
    const auto empty = config::parse_table_csv(golden::content_of("table-empty.csv"));
    CHECK(empty.table == config::Table{});
    REQUIRE(empty.errors.size() == 1);
    CHECK(empty.errors.front().message == "the table has no rows");
}

TEST_CASE("a table keeps its text in the store", "[golden]") {
    golden::check_text(
        "table-record.txt",
        {{"every field set", config::to_json_text(full_record())}, {"defaults", config::to_json_text({})}},
        [](const std::string& text) {
            return config::to_json_text(config::parse_table_record(text).record);
        });
    const auto samples = golden::texts_in("table-record.txt");
    const auto empty = config::parse_table_record(samples.back().bytes);
    REQUIRE(empty.errors.size() == 1);
    CHECK(empty.errors.front().message == "the table has no rows");
    const auto read = config::parse_table_record(samples.front().bytes);
    CHECK(read.errors.empty());
    CHECK(read.record.sequence == 11);
    CHECK(read.record.change_id == "0123456789abcdef");
    CHECK(read.record.author == "an \"author\"");
    CHECK(read.record.accepted_at == "2031-02-03T04:05:06Z");
    CHECK(read.record.table == full_table());
}

TEST_CASE("an accepted change is written under the same keys with the same text", "[golden]") {
    KeptWrites kept;
    store::TableStore tables(kept);
    store::StoredTable base;
    base.record = full_record();
    base.revision = 23;
    auto wanted = full_table();
    REQUIRE_FALSE(config::set_cell(wanted, "book", "limit", "19"));
    const auto result = tables.accept(base, wanted, "an operator");
    REQUIRE(result.outcome == store::AcceptOutcome::kAccepted);
    REQUIRE(kept.values.size() == 2);
    REQUIRE(kept.swaps.size() == 1);
    const auto written = config::parse_table_record(kept.values[0].value).record;
    std::vector<golden::Sample> samples;
    for (const auto& value : kept.values) {
        // The id is random, and the time is the current time.
        auto text = value.value;
        REQUIRE(result.change_id.size() == 16);
        replace(text, result.change_id, "0123456789abcdef");
        replace(text, written.accepted_at, "2031-02-03T04:05:06Z");
        samples.push_back({value.key, text});
    }
    samples.push_back({"condition", kept.swaps.front()});
    golden::check("accepted-change.txt", golden::text_of(samples));
}

TEST_CASE("a previously written change is decoded from the store", "[golden]") {
    const auto samples = golden::texts_in("accepted-change.txt");
    REQUIRE(samples.size() == 3);
    KeptWrites kept;
    kept.values = {{samples[0].name, samples[0].bytes, 31}, {samples[1].name, samples[1].bytes, 32}};
    store::TableStore tables(kept);
    std::error_code error;
    const auto stored = tables.load(error);
    REQUIRE(stored);
    CHECK(stored->revision == 31);
    CHECK(stored->record.sequence == 12);
    CHECK(stored->record.author == "an operator");
    REQUIRE(stored->record.table.find("book") != nullptr);
    CHECK(stored->record.table.find("book")->limit == 19);
    const auto entry = tables.find_change("0123456789abcdef", error);
    REQUIRE(entry);
    CHECK(entry->sequence == 12);
    CHECK(entry->author == "an operator");
    CHECK(entry->accepted_at == "2031-02-03T04:05:06Z");
    CHECK(entry->changes == std::vector<config::CellChange>{{"book", "limit", "8", "19"}});
    golden::check("table-ranges.txt", kept.asked.front() + '\n' + kept.asked.back() + '\n');
}

TEST_CASE("the ring of history keys keeps its size", "[golden]") {
    std::string keys;
    for (const std::uint64_t sequence : {0U, 1'998U, 1'999U, 123'455U}) {
        KeptWrites kept;
        store::TableStore tables(kept);
        store::StoredTable base;
        base.record.sequence = sequence;
        REQUIRE(tables.accept(base, full_table(), "an operator").outcome == store::AcceptOutcome::kAccepted);
        keys += std::to_string(sequence + 1) + ' ' + kept.values.back().key + '\n';
    }
    golden::check("history-keys.txt", keys);
}

TEST_CASE("the holder view keeps its text in the store", "[golden]") {
    const claims::HolderView view{
        0x0102030405060708,
        {{"daemon-1", 0x1112131415161718, "zone-1"}, {"daemon-2", 0xf122232425262728, "zone-2"}},
        {{"daemon-3", 0x3132333435363738, "zone-3"}}};
    golden::check_text(
        "holder-view.txt",
        {{"every field set", claims::to_json_text(view)}, {"defaults", claims::to_json_text({})}},
        [](const std::string& text) {
            claims::HolderView read;
            return claims::parse_holder_view(text, read) ? claims::to_json_text(read) : "not read";
        });
    claims::HolderView read;
    REQUIRE(claims::parse_holder_view(golden::texts_in("holder-view.txt").front().bytes, read));
    CHECK(read.epoch == view.epoch);
    CHECK(read.holders == view.holders);
    CHECK(read.previous == view.previous);
}

TEST_CASE("the platform's list of machines is parsed", "[golden]") {
    // The list is only read, never written; its format belongs to the platform.
    const auto servers = store::parse_machine_list(
        R"([{"targets":["10.1.0.1:81","[::1]:82"],"labels":{"service":"orders","zone":"z-1","state":"live"}},)"
        R"({"targets":["10.1.0.3:83"],"labels":{"service":"stock","zone":"z-2","state":"leaving"}},)"
        R"({"targets":["10.1.0.4:84"],"labels":{"service":"pay","zone":"z-3"}}])");
    REQUIRE(servers);
    std::string text;
    for (const auto& server : *servers) {
        text += server.endpoint.text() + ' ' + server.service + ' ' + server.zone +
                (server.leaving ? " leaving\n" : " live\n");
    }
    golden::check("machine-list.txt", text);
}

TEST_CASE("a verdict keeps its text and its key in the store", "[golden]") {
    const RequestDigest digest{0x0102030405060708, 0x1112131415161718};
    const suspects::StoredVerdict verdict{
        3, 1'796'253'560'006, {CallerDigest(0xfedcba9876543210), CallerDigest(4)}};
    golden::check_text("stored-verdict.txt",
                       {{std::string(sidecar::kVerdictPrefix) + digest.text(), encode(verdict)},
                        {"one caller", encode(suspects::StoredVerdict{0, 0, {CallerDigest(0)}})}},
                       [](const std::string& text) {
                           const auto read = suspects::decodeStoredVerdict(text);
                           return read ? encode(*read) : "not read";
                       });
    const auto read = suspects::decodeStoredVerdict(golden::texts_in("stored-verdict.txt").front().bytes);
    REQUIRE(read);
    CHECK(read->numCrashes == 3);
    CHECK(read->latestUnixMs == 1'796'253'560'006);
    CHECK(read->callers == verdict.callers);
}

TEST_CASE("a sidecar registers under the same key", "[golden]") {
    CHECK(sidecar::member_key("node-7") == "anisehold/members/node-7");
}

TEST_CASE("keys in the store and paths between daemons keep their names", "[golden]") {
    golden::check("store-keys.txt",
                  std::string(store::kTableKey) + '\n' + store::kHolderViewKey + '\n' +
                      store::kHistoryPrefix + '\n' + store::prefix_end(store::kHistoryPrefix) + '\n' +
                      std::string(sidecar::kVerdictPrefix) + '\n' + sidecar::kConfigurationPath + '\n');
}
