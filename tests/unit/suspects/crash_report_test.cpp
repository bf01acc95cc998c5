#include "suspects/crash_report.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "suspects/suspect_server.hpp"
#include "suspects/suspect_slots.hpp"

using namespace anisehold;
using namespace anisehold::suspects;

namespace
{

const TimePoint start{ seconds (1'000) };
const CallerDigest shop{ 0xfedcba9876543210 };
const CallerDigest desk{ 2 };

CrashLedger filledLedger()
{
    CrashLedger ledger;
    recordCrashes (ledger, start, { { 1, 1 }, shop }, 1);
    recordCrashes (ledger, start, { { 2, 2 }, shop }, 3);
    recordCrashes (ledger, start, { { 2, 2 }, desk }, 3);
    recordCleared (ledger, start, { { 3, 3 }, desk }, {});
    return ledger;
}

} // namespace

TEST_CASE ("a report survives encoding and decoding, with the worst suspects first", "[suspects]")
{
    const auto report = decodeCrashReport (encode (reportOf (filledLedger(), start + milliseconds (40))));
    REQUIRE (report);
    REQUIRE (report->suspects.size() == 2);
    const auto& worst = report->suspects.front();
    CHECK (worst.digest == RequestDigest{ 2, 2 });
    CHECK (worst.numCrashes == 3);
    CHECK (worst.ageMs == 40);
    REQUIRE (worst.callers.size() == 2);
    CHECK (worst.callers[0].caller == shop.value);
    CHECK (worst.callers[1].caller == desk.value);
    CHECK (report->suspects[1].callers.size() == 1);
    REQUIRE (report->cleared.size() == 1);
    CHECK (report->cleared[0].digest == RequestDigest{ 3, 3 });
    CHECK (report->cleared[0].caller == desk.value);
    CHECK (report->cleared[0].ageMs == 40);
}

TEST_CASE ("suspects with one crash are reported for a short time, others longer", "[suspects]")
{
    const auto report = reportOf (filledLedger(), start + weakSuspectReportTime + milliseconds (1));
    REQUIRE (report.suspects.size() == 1);
    CHECK (report.suspects.front().numCrashes == 3);
}

TEST_CASE ("reports are bounded in size, and larger ones are rejected", "[suspects]")
{
    CrashLedger ledger;

    for (std::uint64_t n = 0; n < 2 * maxReported; ++n)
        recordCrashes (ledger, start, { { 1, n }, shop }, 1);

    auto report = reportOf (ledger, start);
    CHECK (report.suspects.size() == maxReported);
    CHECK (decodeCrashReport (encode (report)));
    report.suspects.push_back (report.suspects.front());
    CHECK_FALSE (decodeCrashReport (encode (report)));
    report = reportOf (filledLedger(), start);
    report.suspects.front().callers.push_back ({ 9 });
    CHECK_FALSE (decodeCrashReport (encode (report)));
}

TEST_CASE ("invalid bytes are rejected as a report", "[suspects]")
{
    const auto whole = encode (reportOf (filledLedger(), start));
    CHECK_FALSE (decodeCrashReport (""));
    CHECK_FALSE (decodeCrashReport ("T" + whole.substr (1)));

    for (std::size_t n = 1; n < whole.size(); ++n)
        CHECK_FALSE (decodeCrashReport (whole.substr (0, n)));

    std::mt19937 random (1);

    for (int n = 0; n < 5'000; ++n)
    {
        auto corrupted = whole;
        const auto at = std::uniform_int_distribution<std::size_t> (1, whole.size() - 1) (random);
        corrupted[at] = static_cast<char> (random());
        const auto report = decodeCrashReport (corrupted);
        // A corrupted report that still decodes is within the bounds.
        CHECK ((! report || report->suspects.size() <= maxReported));
    }
}

TEST_CASE ("a stored verdict survives encoding and decoding, and invalid texts are rejected", "[suspects]")
{
    const auto text = encode (StoredVerdict{ 3, 1'796'253'560'006, { shop, desk } });
    const auto verdict = decodeStoredVerdict (text);
    REQUIRE (verdict);
    CHECK (verdict->numCrashes == 3);
    CHECK (verdict->latestUnixMs == 1'796'253'560'006);
    CHECK (verdict->callers == std::vector<CallerDigest>{ shop, desk });
    const auto refused = GENERATE (as<std::string>(), "", "3", "3 ", "3 17", "3 17 ", "3 17 x", "x 17 1",
                                   "3 17 1 2 3", "3  17 1", "3 17 1 ", "-3 17 1", "3 99999999999999999999 1",
                                   "3 -1 1", "3 -9223372036854775808 1");
    CAPTURE (refused);
    CHECK_FALSE (decodeStoredVerdict (refused));
}

TEST_CASE ("several weak suspects run at the same time, but only one strong suspect", "[suspects]")
{
    SuspectSlots slots;

    for (unsigned n = 0; n < maxWeakSuspects; ++n)
    {
        CHECK (mayBegin (slots, 1));
        recordStart (slots, 1);
    }

    CHECK_FALSE (mayBegin (slots, 1));
    CHECK (mayBegin (slots, 2));
    recordStart (slots, 2);
    CHECK_FALSE (mayBegin (slots, 3));
    recordEnd (slots, 2);
    CHECK (mayBegin (slots, 3));
    recordEnd (slots, 1);
    CHECK (mayBegin (slots, 1));
}

TEST_CASE ("all daemons choose the same first and second server for a suspect", "[suspects]")
{
    std::vector<membership::KnownServer> servers (5);
    membership::ServiceView here;
    membership::ServiceView there;

    for (std::size_t n = 0; n < servers.size(); ++n)
    {
        servers[n].server.instance = "i-" + std::to_string (n);
        (n < 2 ? here.local : here.remote).push_back (&servers[n]);
        (n < 2 ? there.remote : there.local).push_back (&servers[n]);
    }

    const RequestDigest digest{ 4, 2 };
    const auto* first = chooseForSuspect (here, digest, {});
    REQUIRE (first != nullptr);
    CHECK (chooseForSuspect (there, digest, {}) == first);
    const auto* second = chooseForSuspect (here, digest, { first->server.instance });
    REQUIRE (second != nullptr);
    CHECK (second != first);
    CHECK (chooseForSuspect (there, digest, { first->server.instance }) == second);
    CHECK (chooseForSuspect ({}, digest, {}) == nullptr);
}
