#include "suspects/crash_report.hpp"

#include <algorithm>
#include <charconv>

#include "protocol/message_archive.hpp"

namespace anisehold::suspects
{
namespace
{

/** First byte of every datagram: distinguishes these messages from others and from other layouts. */
constexpr char layout = 'C';

std::uint32_t ageMs (TimePoint now, TimePoint then)
{
    return static_cast<std::uint32_t> (std::max (0LL, to_milliseconds (now - then)));
}

bool goesFirst (const SuspectEntry& left, const SuspectEntry& right)
{
    return left.numCrashes != right.numCrashes ? left.numCrashes > right.numCrashes
                                               : left.ageMs < right.ageMs;
}

/** Parses a number at the start of `text` and removes it from there. */
template <typename Number>
bool takeNumber (std::string_view& text, Number& number)
{
    const auto result = std::from_chars (text.data(), text.data() + text.size(), number);
    text.remove_prefix (static_cast<std::size_t> (result.ptr - text.data()));
    return result.ec == std::errc{};
}

/** Removes the space before the next number. */
bool takeBlank (std::string_view& text)
{
    const bool isBlank = text.starts_with (' ');
    text.remove_prefix (isBlank ? 1 : 0);
    return isBlank;
}

} // namespace

CrashReport reportOf (const CrashLedger& ledger, TimePoint now)
{
    CrashReport report;

    for (const auto& [digest, suspect] : ledger.suspects)
    {
        if (suspect.numCrashes < crashesToIsolate && now - suspect.latest > weakSuspectReportTime)
            continue;

        SuspectEntry it{ digest, suspect.numCrashes, ageMs (now, suspect.latest), {} };

        for (const auto& caller : suspect.callers)
            it.callers.push_back ({ caller.value });

        report.suspects.push_back (std::move (it));
    }

    for (const auto& [request, answered] : ledger.cleared)
        report.cleared.push_back ({ request.digest, request.caller.value, ageMs (now, answered) });

    std::sort (report.suspects.begin(), report.suspects.end(), goesFirst);
    std::sort (report.cleared.begin(), report.cleared.end(),
               [] (const ClearedEntry& left, const ClearedEntry& right) { return left.ageMs < right.ageMs; });
    report.suspects.resize (std::min (report.suspects.size(), maxReported));
    report.cleared.resize (std::min (report.cleared.size(), maxReported));
    return report;
}

std::string encode (const CrashReport& report)
{
    return layout + archive_bytes (report);
}

std::optional<CrashReport> decodeCrashReport (std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != layout)
        return std::nullopt;

    auto report = unarchive_bytes<CrashReport> (bytes.substr (1));

    const auto hasTooManyCallers = [] (const SuspectEntry& it)
    { return it.callers.size() > callersToGeneralize; };

    if (! report || report->suspects.size() > maxReported || report->cleared.size() > maxReported ||
        std::any_of (report->suspects.begin(), report->suspects.end(), hasTooManyCallers))
        return std::nullopt;

    return report;
}

std::string encode (const StoredVerdict& verdict)
{
    auto text = std::to_string (verdict.numCrashes) + " " + std::to_string (verdict.latestUnixMs);

    for (const auto& it : verdict.callers)
        text += " " + std::to_string (it.value);

    return text;
}

std::optional<StoredVerdict> decodeStoredVerdict (std::string_view text)
{
    StoredVerdict verdict;

    if (! takeNumber (text, verdict.numCrashes) || ! takeBlank (text) ||
        ! takeNumber (text, verdict.latestUnixMs) || verdict.latestUnixMs < 0)
        return std::nullopt;

    while (! text.empty() && verdict.callers.size() < callersToGeneralize)
    {
        CallerDigest caller;

        if (! takeBlank (text) || ! takeNumber (text, caller.value))
            return std::nullopt;

        verdict.callers.push_back (caller);
    }

    return text.empty() && ! verdict.callers.empty() ? std::optional (verdict) : std::nullopt;
}

} // namespace anisehold::suspects
