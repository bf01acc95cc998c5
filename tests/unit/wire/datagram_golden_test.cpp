#include <catch2/catch.hpp>

#include "membership/peer_record.hpp"
#include "suspects/crash_report.hpp"
#include "tenancy/tenancy_messages.hpp"
#include "wire_samples.hpp"

using namespace anisehold;

namespace {

membership::PeerRecord full_record() {
    membership::PeerRecord record;
    record.name = "daemon-1";
    record.zone = "zone-2";
    record.boot_id = 0x0102030405060708;
    record.sequence = 0x1112131415161718;
    record.uptime_ms = 0x21222324;
    record.call = {"10.1.0.3", 7'603};
    record.gossip = {"10.1.0.4", 7'604};
    record.leaving = true;
    record.configuration_version = 0x3132333435363738;
    record.watches_store = true;
    record.client_routes = {"route/5", "route/6"};
    record.servers = {{"i-7", "orders", 0x4142434445464748, 9, 10, 11, 12, 13'000, 14'000, 15, 16}};
    overload::ServicePressure pressure;
    pressure.service = "stock";
    pressure.ended = 17;
    pressure.refused = 18;
    pressure.admittedShare = 0.75;
    pressure.rows = {"route/19"};
    pressure.recentEnded = 20;
    pressure.recentRefused = 21;
    pressure.works = {{"route/22", 2.5}};
    record.pressures = {pressure};
    return record;
}

suspects::CrashReport full_news() {
    suspects::CrashReport report;
    report.suspects = {{{0x0102030405060708, 0x1112131415161718}, 3, 4'005, {{0x2122232425262728}, {6}}},
                       {{7, 8}, 9, 10, {{11}}}};
    report.cleared = {{{0x3132333435363738, 0x4142434445464748}, 0x5152535455565758, 12'013}};
    return report;
}

tenancy::Requester full_asker() {
    return {{"10.1.0.8", 7'620}, 0x0102030405060708, 0x1112131415161718};
}

const std::vector<tenancy::Message> kTenancyMessages{
    tenancy::ProofRequest{full_asker()},
    tenancy::ProofReply{full_asker(), 0x2122232425262728, 31},
    tenancy::QuotaRequest{full_asker(), "blue", 32, 33},
    tenancy::QuotaReply{full_asker(), "green", true, "daemon-34", 35, 36, 37},
    tenancy::ProofRequest{},
    tenancy::ProofReply{},
    tenancy::QuotaRequest{},
    tenancy::QuotaReply{},
    tenancy::LeaseUpdate{"daemon-38", 0x3132333435363738, 0x4142434445464748, 39, 0x5152535455565758,
                         0x6162636465666768, 40, 41},
    tenancy::LeaseUpdate{}};

const std::vector<std::string> kTenancyNames{
    "proof question, every field set", "proof answer, every field set", "quota question, every field set",
    "quota answer, every field set",   "proof question, defaults",      "proof answer, defaults",
    "quota question, defaults",        "quota answer, defaults",        "lease update, every field set",
    "lease update, defaults"};

}  // namespace

TEST_CASE("a peer's record keeps its bytes", "[golden]") {
    golden::check_dump("peer-record.txt",
                       {{"every field set", encode(full_record())},
                        {"defaults", encode(membership::PeerRecord{})},
                        {"defaults within",
                         [] {
                             membership::PeerRecord record;
                             record.servers.emplace_back();
                             record.pressures.emplace_back();
                             return encode(record);
                         }()}},
                       [](const std::string& bytes) {
                           const auto record = membership::decode_peer_record(bytes);
                           return record ? encode(*record) : "not decoded";
                       });
}

TEST_CASE("a peer's record with a shortage report keeps its bytes", "[golden]") {
    auto record = full_record();
    record.servers.front().slow_percent = 250;
    record.servers.front().declined_percent = 55;
    auto offering = full_record();
    offering.shortage.offered = {{{0x51525354, 0x5556, 57}}, {{"stock", {{"route/58", 2.5}}}}};
    auto both = offering;
    both.servers = record.servers;
    auto with_callers = record;
    with_callers.shortage.callers = {{"route/5", {{"", 8, 9, true}, {"tenant-1", 0x44434241, 10, false}}}};
    golden::check_dump("peer-record-shortage.txt",
                       {{"conditions of servers", encode(record)},
                        {"offered volumes and work", encode(offering)},
                        {"conditions, volumes and work", encode(both)},
                        {"demand of callers", encode(with_callers)}},
                       [](const std::string& bytes) {
                           const auto decoded = membership::decode_peer_record(bytes);
                           return decoded ? encode(*decoded) : "not decoded";
                       });
    const auto decoded = membership::decode_peer_record(encode(record));
    REQUIRE(decoded);
    CHECK(decoded->servers == record.servers);
}

TEST_CASE("offered volumes and work estimates of a record are decoded") {
    auto record = full_record();
    record.shortage.offered = {{{7, 8, 9}}, {{"stock", {{"route/1", 2.5}}}}};
    const auto bytes = encode(record);
    const auto decoded = membership::decode_peer_record(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->shortage.offered.offered.size() == 1);
    CHECK(decoded->shortage.offered.offered[0].id == 7);
    CHECK(decoded->shortage.offered.offered[0].tenthPerSecond == 8);
    CHECK(decoded->shortage.offered.offered[0].priority == 9);
    REQUIRE(decoded->shortage.offered.works.size() == 1);
    CHECK(decoded->shortage.offered.works[0].service == "stock");
    CHECK(decoded->shortage.offered.works[0].works[0].row == "route/1");
    CHECK(decoded->shortage.offered.works[0].works[0].ms == 2.5);
    CHECK_FALSE(membership::decode_peer_record(std::string_view(bytes).substr(0, bytes.size() - 1)));
    CHECK(encode(full_record()).size() < bytes.size());
}

TEST_CASE("the demand of callers in a record is decoded, and refused if it is cut off") {
    auto record = full_record();
    const auto plain = encode(record);
    record.shortage.callers = {{"route/5", {{"", 8, 9, true}, {"tenant-1", 11, 10, false}}}};
    const auto bytes = encode(record);
    const auto decoded = membership::decode_peer_record(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->shortage.callers.size() == 1);
    const auto& row = decoded->shortage.callers.front();
    CHECK(row.row == "route/5");
    REQUIRE(row.groups.size() == 2);
    CHECK(row.groups[0].tenant.empty());
    CHECK(row.groups[0].isUsualKnown);
    CHECK(row.groups[1].tenant == "tenant-1");
    CHECK(row.groups[1].offered == 11);
    CHECK(row.groups[1].usual == 10);
    CHECK(encode(*decoded) == bytes);
    CHECK_FALSE(membership::decode_peer_record(std::string_view(bytes).substr(0, bytes.size() - 1)));
    record.shortage.callers.clear();
    CHECK(encode(record) == plain);
}

TEST_CASE("a record whose shortage report is cut off is refused") {
    auto record = full_record();
    const auto plain = encode(record);
    record.servers.front().slow_percent = 250;
    const auto extended = encode(record);
    REQUIRE(extended.size() > plain.size() + 1);
    CHECK(membership::decode_peer_record(extended));
    CHECK_FALSE(membership::decode_peer_record(std::string_view(extended).substr(0, plain.size() + 1)));
}

TEST_CASE("the fields of a previously written peer record are decoded", "[golden]") {
    const auto samples = golden::dumped_in("peer-record.txt");
    REQUIRE(samples.size() == 3);
    const auto record = membership::decode_peer_record(samples[0].bytes);
    REQUIRE(record);
    const auto expected = full_record();
    CHECK(record->name == expected.name);
    CHECK(record->zone == expected.zone);
    CHECK(record->boot_id == expected.boot_id);
    CHECK(record->sequence == expected.sequence);
    CHECK(record->uptime_ms == expected.uptime_ms);
    CHECK(record->call == expected.call);
    CHECK(record->gossip == expected.gossip);
    CHECK(record->leaving);
    CHECK(record->configuration_version == expected.configuration_version);
    CHECK(record->watches_store);
    CHECK(record->client_routes == expected.client_routes);
    CHECK(record->servers == expected.servers);
    REQUIRE(record->pressures.size() == 1);
    CHECK(record->pressures[0].service == "stock");
    CHECK(record->pressures[0].ended == 17);
    CHECK(record->pressures[0].refused == 18);
    CHECK(record->pressures[0].admittedShare == 0.75);
    CHECK(record->pressures[0].recentEnded == 20);
    CHECK(record->pressures[0].recentRefused == 21);
}

TEST_CASE("crash messages keep their bytes", "[golden]") {
    golden::check_dump(
        "crash-news.txt",
        {{"every field set", encode(full_news())}, {"defaults", encode(suspects::CrashReport{})}},
        [](const std::string& bytes) {
            const auto report = suspects::decodeCrashReport(bytes);
            return report ? encode(*report) : "not decoded";
        });
}

TEST_CASE("messages about tenants keep their bytes", "[golden]") {
    std::vector<golden::Sample> samples;
    for (std::size_t index = 0; index < kTenancyMessages.size(); ++index) {
        samples.push_back({kTenancyNames[index], tenancy::encode(kTenancyMessages[index])});
    }
    golden::check_dump("tenancy-messages.txt", samples, [](const std::string& bytes) {
        const auto message = tenancy::decode(bytes);
        return message ? tenancy::encode(*message) : "not decoded";
    });
}

TEST_CASE("datagrams on one port are distinguished by their first byte", "[golden]") {
    const auto record = encode(full_record());
    const auto report = encode(full_news());
    const auto tenants = tenancy::encode(kTenancyMessages.front());
    golden::check("datagram-first-bytes.txt", std::string("peer record ") + record.front() + "\ncrash news " +
                                                  report.front() + "\ntenants " + tenants.front() + '\n');
    CHECK_FALSE(membership::decode_peer_record(report));
    CHECK_FALSE(membership::decode_peer_record(tenants));
    CHECK_FALSE(suspects::decodeCrashReport(record));
    CHECK_FALSE(suspects::decodeCrashReport(tenants));
    CHECK_FALSE(tenancy::decode(record));
    CHECK_FALSE(tenancy::decode(report));
}
