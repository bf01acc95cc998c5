#include "explain/failure_summary.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace anisehold;
using namespace anisehold::explain;

namespace
{

std::string line (const std::string& time, const std::string& outcome, const std::string& attempts,
                  const std::string& id)
{
    return "collector {\"time\":\"2026-12-02T10:11:" + time +
           "Z\",\"level\":\"info\",\"event\":1601,\"name\":\"ingress-call\",\"member\":\"m\",\"request_id\":"
           "\"" +
           id + "\",\"route\":\"r\",\"service\":\"s\",\"attempts\":\"" + attempts + "\",\"outcome\":\"" +
           outcome + "\"}\n";
}

FailureSummary read (const std::string& text)
{
    FailureSummary summary;
    std::istringstream input (text);
    addLog (summary, input);
    return summary;
}

} // namespace

TEST_CASE ("each outcome of a request has one cause", "[explain]")
{
    struct Row
    {
        const char* outcome;
        const char* attempts;
        FailureCause cause;
    };
    const std::vector<Row> rows{
        { "overloaded", "", FailureCause::refusedEarly },
        { "overloaded", "i-1:not-sent/overloaded:1ms:age2", FailureCause::rejectedAtGates },
        { "queue-timeout", "", FailureCause::rejectedAtGates },
        { "no-backend", "", FailureCause::noServer },
        { "no-backend", "i-1:not-sent/connect-failed:1ms:age2", FailureCause::unreachable },
        { "500", "i-1:500:1ms:age2", FailureCause::serverFailed },
        { "backend-refused", "", FailureCause::serverDeclined },
        { "outcome-unknown", "", FailureCause::outcomeUnknown },
        { "deadline-exceeded", "", FailureCause::timeUp },
        { "cancelled", "", FailureCause::callerLeft },
        { "no-table", "", FailureCause::noConfiguration },
        { "unauthorized", "", FailureCause::unauthorized },
        { "stopping", "", FailureCause::daemonStopping },
        { "key-unproven", "", FailureCause::keyUnproven },
        { "quota-exceeded", "", FailureCause::quotaExceeded },
        { "quota-unknown", "", FailureCause::quotaUnknown },
        { "bad-request", "", FailureCause::other }
    };

    for (const auto& row : rows)
    {
        const auto summary = read (line ("12.345", row.outcome, row.attempts, "a"));
        REQUIRE (summary.groups.size() == 1);
        CHECK (summary.groups.begin()->first.cause == row.cause);
    }
}

TEST_CASE ("failures are counted by cause and second, with an example", "[explain]")
{
    const auto summary =
        read (line ("12.345", "overloaded", "", "first") + line ("12.900", "overloaded", "", "b") +
              line ("14.000", "overloaded", "", "c") + line ("13.000", "500", "i:500", "d") +
              line ("13.000", "200", "i:200", "e") + "not a line\n{\"name\":\"ingress-call\"\n");
    CHECK (summary.served == 1);
    REQUIRE (summary.groups.size() == 2);
    const auto& early = summary.groups.at ({ FailureCause::refusedEarly, "r", "s" });
    CHECK (early.total == 3);
    CHECK (early.bySecond.size() == 2);
    CHECK (early.bySecond.begin()->second == 2);
    CHECK (early.example == "first");
    const auto text = describe (summary);
    CHECK (text.find ("refused-early") < text.find ("server-failed"));
    CHECK (text.find ("0-2") != std::string::npos);
    CHECK (text.find ("2 at 0") != std::string::npos);
}

TEST_CASE ("logs without failures say so", "[explain]")
{
    CHECK (describe (read ("")) == "no request was refused or failed\n");
}
