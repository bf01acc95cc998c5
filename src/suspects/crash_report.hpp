/** Messages by which daemons report suspects to each other, one per datagram, and the stored form of a
    verdict. Other versions read both forms, so the order of `serialize_all` and the text format must not
    change. */
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

/** One caller. A struct, because the archives write and read plain vectors of numbers differently. */
struct CallerEntry
{
    std::uint64_t caller = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, caller);
    }
};

/** A suspect as reported to peers. */
struct SuspectEntry
{
    RequestDigest digest;
    std::uint32_t numCrashes = 0;
    std::uint32_t ageMs = 0; /**< Age of the latest crash. */
    std::vector<CallerEntry> callers;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, digest, numCrashes, ageMs, callers);
    }
};

/** One caller's request that is no longer a suspect. */
struct ClearedEntry
{
    RequestDigest digest;
    std::uint64_t caller = 0;
    std::uint32_t ageMs = 0; /**< Age of the server's response. */

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

/** Maximum number of suspects and of cleared requests in one message: 40 and 28 bytes each for one caller,
    some 9 KB. */
inline constexpr std::size_t maxReported = 128;

/** How long suspects with one crash are reported. All peers receive them at once, and twice. Nearly all are
    harmless and not sent again, and one crash may leave a hundred of them, 4 KB in each message. */
inline constexpr seconds weakSuspectReportTime{ 10 };

/** Returns the part of the ledger that is reported: suspects with the most crashes first, then the most
    recent. */
CrashReport reportOf (const CrashLedger&, TimePoint now);

std::string encode (const CrashReport&);
/** Returns nothing if the bytes are not a valid message. */
std::optional<CrashReport> decodeCrashReport (std::string_view);

/** A verdict as stored: the number of crashes, the Unix time of the latest crash in milliseconds, and the
    callers, as decimal numbers separated by single spaces. */
struct StoredVerdict
{
    unsigned numCrashes = 0;
    std::int64_t latestUnixMs = 0;
    std::vector<CallerDigest> callers; /**< At least one. */
};

std::string encode (const StoredVerdict&);
/** Returns nothing if the text is not a valid verdict. */
std::optional<StoredVerdict> decodeStoredVerdict (std::string_view);

} // namespace anisehold::suspects
