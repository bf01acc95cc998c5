#include <catch2/catch.hpp>

#include "tests/integration/proof.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

std::uint64_t revision_at(Fleet& fleet, const DaemonProcess& place) {
    const auto status = fleet.get(place.admin, "/status");
    return status ? status->at("table_revision").get<std::uint64_t>() : 0;
}

std::uint64_t store_revision_of_table(Fleet& fleet) {
    return revision_at(fleet, fleet.daemons().front());
}

bool all_have(Fleet& fleet, std::uint64_t revision) {
    return std::all_of(fleet.daemons().begin(), fleet.daemons().end(),
                       [&](const DaemonProcess& place) { return revision_at(fleet, place) >= revision; });
}

}  // namespace

TEST_CASE(
    "table: after concurrent changes by two operators and a lost response, both changes are in force "
    "everywhere",
    "[proof][table]") {
    Fleet fleet(proof_options("cooperative", 22'900));
    REQUIRE(fleet.start());
    const auto before = store_revision_of_table(fleet);
    const std::vector<std::string> common{"table", "--store", fleet.store().text(), "set"};
    auto first = common;
    first.push_back("book.weight=9");
    auto second = common;
    second.push_back("pay-dues.weight=8");
    fleet.start_program("operator-1", "anisehold", first);
    fleet.start_program("operator-2", "anisehold", second);
    CHECK(fleet.wait_for_exit("operator-1", seconds(5)) == 0);
    CHECK(fleet.wait_for_exit("operator-2", seconds(5)) == 0);
    CHECK(fleet.eventually(seconds(5), [&] { return all_have(fleet, before + 2); }));
    auto exported = fleet.run_table({"export"});
    CHECK(exported.output.find("book,request,POST bookings /bookings,1,9,") != std::string::npos);
    CHECK(exported.output.find("pay-dues,request,POST bookings /dues,1,8,") != std::string::npos);

    fleet.set_faults(fleet.store(), {{"lose_answers", true}});
    const auto lost = fleet.run_table({"set", "book.weight=3"});
    fleet.set_faults(fleet.store(), {{"lose_answers", false}});
    CHECK(lost.status == 0);
    CHECK(lost.output.find("accepted: change ") == 0);
    const auto change = lost.output.substr(17, 16);
    CHECK(fleet.run_table({"outcome", change}).status == 0);
    CHECK(fleet.run_table({"outcome", "0000000000000000"}).status == 1);
    CHECK(fleet.eventually(seconds(5), [&] { return all_have(fleet, before + 3); }));
}

TEST_CASE("table: with the store down a restarted daemon gets the table from a peer", "[proof][table]") {
    Fleet fleet(proof_options("cooperative", 23'000));
    REQUIRE(fleet.start());
    const auto accepted = fleet.run_table({"set", "book.weight=9"});
    REQUIRE(accepted.status == 0);
    const auto revision = store_revision_of_table(fleet) + 1;
    fleet.eventually(seconds(3), [&] { return all_have(fleet, revision); });
    const auto in_force = store_revision_of_table(fleet);
    fleet.set_faults(fleet.store(), {{"outage", true}});
    const auto& restarted = fleet.daemons()[2];
    fleet.kill(restarted.name);
    fleet.restart(restarted.name);
    CHECK(fleet.eventually(seconds(10), [&] { return revision_at(fleet, restarted) == in_force; }));
    fleet.start_load("clients", {"--rate", "50", "--duration-ms", "2000"}, {2});
    const auto result = fleet.finish_load("clients");
    // Bookings need the new holder view, which waits for the store; all other calls continue.
    CHECK(result["kinds"]["standing-check"]["whole"] == result["kinds"]["standing-check"]["sent"]);
}

TEST_CASE("table: stale store responses and a resumed daemon never restore an older table",
          "[proof][table]") {
    Fleet fleet(proof_options("cooperative", 23'100));
    REQUIRE(fleet.start());
    const auto& daemons = fleet.daemons();
    const auto before = store_revision_of_table(fleet);
    fleet.freeze(daemons[2].name);
    REQUIRE(fleet.run_table({"set", "book.weight=9"}).status == 0);
    REQUIRE(fleet.run_table({"set", "book.weight=8"}).status == 0);
    CHECK(fleet.eventually(seconds(5), [&] { return revision_at(fleet, daemons[0]) >= before + 2; }));
    fleet.set_faults(fleet.store(), {{"stale_by", 2}});
    // The watch breaks, so that daemons ask the store again and get stale responses.
    fleet.set_faults(fleet.store(), {{"outage", true}});
    Fleet::pause(milliseconds(2'500));
    fleet.set_faults(fleet.store(), {{"outage", false}});
    fleet.thaw(daemons[2].name);
    std::map<std::string, std::uint64_t> highest;
    bool reverted = false;
    for (int poll = 0; poll < 80; ++poll) {
        for (const auto& place : daemons) {
            const auto revision = revision_at(fleet, place);
            reverted = reverted || revision < highest[place.name];
            highest[place.name] = std::max(highest[place.name], revision);
        }
        Fleet::pause(milliseconds(50));
    }
    CHECK_FALSE(reverted);
    CHECK(all_have(fleet, before + 2));
}
