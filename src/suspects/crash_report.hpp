/** What daemons report to each other of suspects: one datagram a message; and how a verdict is kept in the
    store. Both forms are read by other versions: the order of `serialize_all` and the text don't change. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/request_digest.hpp"
#include "protocol/serialize_all.hpp"
#include "suspects/crash_ledger.hpp"

namespace anisehold::suspects
{

/** One caller. A struct, since the archives write and read bare vectors of numbers in two ways. */
struct CallerEntry
{
    std::uint64_t caller = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, caller);
    }
};

/** One suspect. */
struct SuspectEntry
{
    RequestDigest digest;
    std::uint32_t numCrashes = 0;
    std::uint32_t ageMs = 0; /**< Of the latest crash. */
    std::vector<CallerEntry> callers;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, digest, numCrashes, ageMs, callers);
    }
};

/** One caller's request that is a suspect no more. */
struct ClearedEntry
{
    RequestDigest digest;
    std::uint64_t caller = 0;
    std::uint32_t ageMs = 0; /**< Of the server's answer. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, digest, caller, ageMs);
    }
};

struct CrashReport
{
    std::vector<SuspectEntry> suspects;
    std::vector<ClearedEntry> cleared;

    bool empty() const { return suspects.empty() && cleared.empty(); }

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, suspects, cleared);
    }
};

/** Most suspects, and most cleared requests, of one message: 40 and 28 bytes each for one caller, some 9
    KB, worked out. */
inline constexpr std::size_t maxReported = 128;

/** How long suspects of one crash are reported. All peers got them at once, and twice; nearly all of these
    are harmless and don't come again, and a server may leave a hundred, 4 KB in each message. Chosen, not
    measured. */
inline constexpr seconds weakSuspectReportTime{ 10 };

/** What of the ledger is reported: those with the most crashes first, then the latest. */
CrashReport reportOf (const CrashLedger&, TimePoint now);

std::string encode (const CrashReport&);
/** Nothing if the bytes aren't such a message. */
std::optional<CrashReport> decodeCrashReport (std::string_view);

/** A verdict as it lies in the store: the number of crashes, the Unix time of the latest, in milliseconds,
    and the callers, as decimal numbers with a blank between. */
struct StoredVerdict
{
    unsigned numCrashes = 0;
    std::int64_t latestUnixMs = 0;
    std::vector<CallerDigest> callers; /**< One at least. */
};

std::string encode (const StoredVerdict&);
/** Nothing if the text isn't a verdict. */
std::optional<StoredVerdict> decodeStoredVerdict (std::string_view);

} // namespace anisehold::suspects
