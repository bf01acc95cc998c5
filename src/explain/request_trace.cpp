#include "explain/request_trace.hpp"

#include <algorithm>
#include <optional>

namespace anisehold::explain
{
namespace
{

/** Maximum age of a server change listed before a request. */
constexpr milliseconds changeHorizon{ 10'000 };
/** Maximum number of failed nested calls listed. */
constexpr std::size_t maxFailedNestedCalls = 5;
/** Tolerance for clock differences between processes, by which simultaneous lines may appear in a
    different order. */
constexpr milliseconds clockSlack{ 20 };

milliseconds elapsedOf (const LogLine& line)
{
    return milliseconds (std::strtoll (fieldOf (line, "taken_ms").c_str(), nullptr, 10));
}

bool hasSucceeded (const LogLine& line)
{
    return fieldOf (line, "outcome").starts_with ("2");
}

bool isServerChange (const LogLine& line)
{
    return line.name == "peer-changed" || line.name == "server-silent" || line.name == "server-leaving" ||
           line.name == "server-registered" || line.name == "server-rate-limit";
}

std::vector<LogLine> linesOf (const std::vector<LogLine>& lines, const std::string& requestId)
{
    std::vector<LogLine> own;

    for (const auto& it : lines)
    {
        if (fieldOf (it, "request_id") == requestId)
            own.push_back (it);
    }

    return own;
}

/** Adds failed calls made by the gate's machine while the request was executed at its server. */
void addFailedNestedCalls (std::vector<TraceStep>& steps, const std::vector<LogLine>& lines,
                           const LogLine& gate)
{
    std::size_t n = 0;

    for (const auto& it : lines)
    {
        const bool isMeanwhile =
            it.at >= gate.at - elapsedOf (gate) - clockSlack && it.at <= gate.at + clockSlack;

        if (it.member != gate.member || it.name != "ingress-call" || ! isMeanwhile || hasSucceeded (it))
            continue;

        if (fieldOf (it, "request_id") == fieldOf (gate, "request_id") || ++n > maxFailedNestedCalls)
            continue;

        steps.push_back ({ Relevance::failedNestedCall, it });
    }
}

/** Adds the latest change of each service's limit on the ingress's machine, if the limit still rejects
    requests. */
void addLimits (std::vector<TraceStep>& steps, const std::vector<LogLine>& lines, const LogLine& ingress)
{
    std::map<std::string, LogLine> latest;

    for (const auto& it : lines)
    {
        if (it.name != "root-limit-moved" || it.member != ingress.member || it.at > ingress.at)
            continue;

        auto& known = latest[fieldOf (it, "service")];

        if (known.at <= it.at)
            known = it;
    }

    for (const auto& [service, it] : latest)
    {
        if (std::strtod (fieldOf (it, "to").c_str(), nullptr) < 1)
            steps.push_back ({ Relevance::limitInForce, it });
    }
}

void addServerChanges (std::vector<TraceStep>& steps, const std::vector<LogLine>& lines,
                       const LogLine& ingress)
{
    const auto attempts = fieldOf (ingress, "attempts");

    for (const auto& it : lines)
    {
        const auto server = fieldOf (it, "server");
        const bool isRecent = it.at <= ingress.at && it.at + changeHorizon >= ingress.at;

        if (! isServerChange (it) || ! isRecent || server.empty() ||
            attempts.find (server) == std::string::npos)
            continue;

        if (it.name == "peer-changed" && it.member != ingress.member)
            continue;

        steps.push_back ({ Relevance::serverChange, it });
    }
}

std::string titleOf (Relevance relevance)
{
    switch (relevance)
    {
        case Relevance::own:
            return "request";
        case Relevance::failedNestedCall:
            return "failed nested call, possibly of this request";
        case Relevance::limitInForce:
            return "limit in force";
        case Relevance::serverChange:
            return "server change before the request";
    }

    return "";
}

} // namespace

std::vector<TraceStep> traceRequest (const std::vector<LogLine>& lines, const std::string& requestId)
{
    std::vector<TraceStep> steps;

    for (const auto& it : linesOf (lines, requestId))
    {
        steps.push_back ({ Relevance::own, it });
        const bool isIngress = it.name == "ingress-call";

        if (it.name == "gate-call" && fieldOf (it, "status").starts_with ("5"))
            addFailedNestedCalls (steps, lines, it);

        if (isIngress && fieldOf (it, "attempts").empty())
            addLimits (steps, lines, it);

        if (isIngress && ! hasSucceeded (it))
            addServerChanges (steps, lines, it);
    }

    std::stable_sort (steps.begin(), steps.end(),
                      [] (const TraceStep& a, const TraceStep& b) { return a.line.at < b.line.at; });
    return steps;
}

std::string describe (const std::vector<TraceStep>& steps)
{
    std::string text;

    for (const auto& it : steps)
    {
        text += it.line.time + " " + it.line.member + " [" + titleOf (it.relevance) + "] " + it.line.name;

        for (const auto& [name, value] : it.line.fields)
            text += " " + name + "=" + (value.empty() ? "-" : value);

        text += "\n";
    }

    return text;
}

} // namespace anisehold::explain
