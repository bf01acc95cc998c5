#include "explain/failure_summary.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace anisehold::explain
{
namespace
{

struct CauseName
{
    FailureCause cause;
    std::string_view name;
};

constexpr std::array<CauseName, 16> causeNames{ { { FailureCause::refusedEarly, "refused-early" },
                                                  { FailureCause::rejectedAtGates, "no-room" },
                                                  { FailureCause::noServer, "no-server" },
                                                  { FailureCause::unreachable, "unreachable" },
                                                  { FailureCause::serverFailed, "server-failed" },
                                                  { FailureCause::serverDeclined, "server-declined" },
                                                  { FailureCause::outcomeUnknown, "outcome-unknown" },
                                                  { FailureCause::timeUp, "time-up" },
                                                  { FailureCause::callerLeft, "caller-left" },
                                                  { FailureCause::noConfiguration, "no-configuration" },
                                                  { FailureCause::daemonStopping, "daemon-stopping" },
                                                  { FailureCause::unauthorized, "unauthorized" },
                                                  { FailureCause::keyUnproven, "key-unproven" },
                                                  { FailureCause::quotaExceeded, "quota-exceeded" },
                                                  { FailureCause::quotaUnknown, "quota-unknown" },
                                                  { FailureCause::other, "other" } } };

/** Whether the outcome is a server's HTTP status. */
bool isStatus (const std::string& outcome)
{
    return ! outcome.empty() &&
           std::all_of (outcome.begin(), outcome.end(), [] (char it) { return it >= '0' && it <= '9'; });
}

/** Causes related to the caller's key or its tenant's quota have the same names as their outcomes. */
FailureCause tenancyCauseOf (const std::string& outcome)
{
    constexpr std::array causes{ FailureCause::unauthorized, FailureCause::keyUnproven,
                                 FailureCause::quotaExceeded, FailureCause::quotaUnknown };

    for (const auto it : causes)
        if (outcome == nameOf (it))
            return it;

    return FailureCause::other;
}

FailureCause causeOf (const std::string& outcome, const std::string& attempts)
{
    if (isStatus (outcome))
        return FailureCause::serverFailed;

    if (outcome == "overloaded")
        return attempts.empty() ? FailureCause::refusedEarly : FailureCause::rejectedAtGates;

    if (outcome == "queue-timeout")
        return FailureCause::rejectedAtGates;

    if (outcome == "no-backend")
        return attempts.empty() ? FailureCause::noServer : FailureCause::unreachable;

    if (outcome == "backend-refused")
        return FailureCause::serverDeclined;

    if (outcome == "outcome-unknown" || outcome == "backend-failed")
        return FailureCause::outcomeUnknown;

    if (outcome == "deadline-exceeded")
        return FailureCause::timeUp;

    if (outcome == "cancelled")
        return FailureCause::callerLeft;

    if (outcome == "no-table")
        return FailureCause::noConfiguration;

    if (outcome == "stopping")
        return FailureCause::daemonStopping;

    return tenancyCauseOf (outcome);
}

/** The text padded to `width`, followed by at least one space. */
std::string column (const std::string& text, std::size_t width)
{
    return text + std::string (std::max (width, text.size() + 1) - text.size(), ' ');
}

/** Detects served requests, the majority of lines, without parsing them. */
bool isServed (const std::string& text)
{
    return text.find ("\"outcome\":\"2") != std::string::npos ||
           text.find ("\"outcome\":\"3") != std::string::npos;
}

} // namespace

std::string_view nameOf (FailureCause cause)
{
    const auto* it = std::find_if (causeNames.begin(), causeNames.end(),
                                   [&] (const CauseName& each) { return each.cause == cause; });
    return it->name;
}

void addLog (FailureSummary& summary, std::istream& input)
{
    for (std::string text; std::getline (input, text);)
    {
        if (text.find ("\"name\":\"ingress-call\"") == std::string::npos)
            continue;

        if (isServed (text))
        {
            ++summary.served;
            continue;
        }

        const auto line = parseLogLine (text);

        if (! line)
            continue;

        const auto cause = causeOf (fieldOf (*line, "outcome"), fieldOf (*line, "attempts"));
        auto& count = summary.groups[{ cause, fieldOf (*line, "route"), fieldOf (*line, "service") }];
        ++count.total;
        ++count.bySecond[std::chrono::duration_cast<seconds> (line->at).count()];

        if (count.example.empty())
            count.example = fieldOf (*line, "request_id");
    }
}

std::string describe (const FailureSummary& summary)
{
    std::vector<std::pair<FailureGroup, FailureCount>> groups (summary.groups.begin(), summary.groups.end());

    if (groups.empty())
        return "no request was refused or failed\n";

    std::stable_sort (groups.begin(), groups.end(),
                      [] (const auto& left, const auto& right)
                      { return left.second.total > right.second.total; });
    std::int64_t first = groups.front().second.bySecond.begin()->first;

    for (const auto& [group, count] : groups)
        first = std::min (first, count.bySecond.begin()->first);

    std::string text = column ("requests", 9) + column ("cause", 17) + column ("route", 20) +
                       column ("service", 16) + column ("seconds", 12) + column ("worst", 14) + "example\n";

    for (const auto& [group, count] : groups)
    {
        const auto worst = std::max_element (count.bySecond.begin(), count.bySecond.end(),
                                             [] (const auto& left, const auto& right)
                                             { return left.second < right.second; });
        const auto span = std::to_string (count.bySecond.begin()->first - first) + "-" +
                          std::to_string (count.bySecond.rbegin()->first - first);
        const auto most = std::to_string (worst->second) + " at " + std::to_string (worst->first - first);
        text += column (std::to_string (count.total), 9) + column (std::string (nameOf (group.cause)), 17) +
                column (group.route, 20) + column (group.service, 16) + column (span, 12) +
                column (most, 14) + count.example + "\n";
    }

    return text + "served requests found in the logs: " + std::to_string (summary.served) + "\n";
}

} // namespace anisehold::explain
