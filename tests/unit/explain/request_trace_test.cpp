#include "explain/request_trace.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace anisehold;
using namespace anisehold::explain;

namespace
{

/** A line of `member` at second `second`, with additional fields as JSON. */
LogLine line (const std::string& second, const std::string& member, const std::string& name,
              const std::string& fields)
{
    const auto text = R"({"time":"2026-12-02T10:00:)" + second +
                      R"(Z","level":"info","event":1601,"name":")" + name + R"(","member":")" + member +
                      R"(",)" + fields + "}";
    const auto parsed = parseLogLine (text);
    REQUIRE (parsed);
    return *parsed;
}

std::vector<Relevance> relevancesOf (const std::vector<TraceStep>& steps)
{
    std::vector<Relevance> all;
    all.reserve (steps.size());

    for (const auto& it : steps)
        all.push_back (it.relevance);

    return all;
}

} // namespace

TEST_CASE ("a line is parsed with its time, and a collector's prefix is skipped", "[explain]")
{
    const auto parsed = parseLogLine (
        R"(7.25 host-1 {"time":"2026-12-02T10:00:01.250Z","level":"info","event":1601,"name":"n","member":"m","a":"b"})");
    REQUIRE (parsed);
    CHECK (parsed->member == "m");
    CHECK (parsed->at.count() % 60'000 == 1'250);
    CHECK (parsed->fields == std::map<std::string, std::string>{ { "a", "b" } });
    CHECK_FALSE (parseLogLine ("no line of ours"));
    CHECK_FALSE (parseLogLine ("{\"time\":\"yesterday\",\"name\":\"n\"}"));
    CHECK_FALSE (parseLogLine ("{broken"));
}

TEST_CASE ("a request's lines of all processes are in chronological order", "[explain]")
{
    const std::vector<LogLine> lines{
        line ("02.000", "a", "ingress-call", R"("request_id":"r1","attempts":"i-1:200","outcome":"200")"),
        line ("01.990", "b", "gate-call", R"("request_id":"r1","status":"200","outcome":"answered")"),
        line ("01.000", "b", "gate-call", R"("request_id":"r2","status":"200","outcome":"answered")")
    };
    const auto steps = traceRequest (lines, "r1");
    REQUIRE (steps.size() == 2);
    CHECK (steps[0].line.member == "b");
    CHECK (describe (steps).find ("gate-call") < describe (steps).find ("ingress-call"));
    CHECK (traceRequest (lines, "r3").empty());
}

TEST_CASE ("an early refusal shows the limit that was in force there", "[explain]")
{
    const std::vector<LogLine> lines{
        line ("00.000", "a", "root-limit-moved", R"("service":"deep","to":"0.9")"),
        line ("01.000", "a", "root-limit-moved", R"("service":"deep","to":"0.4")"),
        line ("01.000", "a", "root-limit-moved", R"("service":"sound","to":"1.000000")"),
        line ("01.500", "b", "root-limit-moved", R"("service":"deep","to":"0.3")"),
        line ("02.000", "a", "ingress-call", R"("request_id":"r1","attempts":"","outcome":"overloaded")")
    };
    const auto steps = traceRequest (lines, "r1");
    REQUIRE (relevancesOf (steps) == std::vector{ Relevance::limitInForce, Relevance::own });
    CHECK (fieldOf (steps[0].line, "to") == "0.4");
}

TEST_CASE ("a server failure shows the calls that failed on its machine at that time", "[explain]")
{
    const std::vector<LogLine> lines{
        line ("01.000", "b", "ingress-call", R"("request_id":"early","outcome":"overloaded")"),
        line ("01.600", "b", "ingress-call", R"("request_id":"nested","outcome":"overloaded")"),
        line ("01.600", "b", "ingress-call", R"("request_id":"sound","outcome":"200")"),
        line ("01.600", "c", "ingress-call", R"("request_id":"elsewhere","outcome":"overloaded")"),
        line ("02.000", "b", "gate-call",
              R"("request_id":"r1","status":"500","taken_ms":"500","outcome":"answered")")
    };
    const auto steps = traceRequest (lines, "r1");
    REQUIRE (relevancesOf (steps) == std::vector{ Relevance::failedNestedCall, Relevance::own });
    CHECK (fieldOf (steps[0].line, "request_id") == "nested");
}

TEST_CASE ("a failed request shows preceding changes of its servers", "[explain]")
{
    const std::vector<LogLine> lines{
        line ("00.000", "b", "server-silent", R"("server":"i-1")"),
        line ("00.500", "b", "server-rate-limit", R"("server":"i-1","per_s":"5")"),
        line ("01.000", "b", "server-silent", R"("server":"i-9")"),
        line ("02.000", "a", "ingress-call",
              R"("request_id":"r1","attempts":"i-1:unknown/x","outcome":"outcome-unknown")")
    };
    const auto steps = traceRequest (lines, "r1");
    CHECK (relevancesOf (steps) ==
           std::vector{ Relevance::serverChange, Relevance::serverChange, Relevance::own });
}

TEST_CASE ("only relevant lines are parsed", "[explain]")
{
    const std::string head = R"({"time":"2026-12-02T10:00:01.000Z","member":"m",)";
    std::istringstream input (head + R"("name":"ingress-call","request_id":"r1","outcome":"200"})" + "\n" +
                              head + R"("name":"ingress-call","request_id":"r2","outcome":"200"})" + "\n" +
                              head + R"("name":"ingress-call","request_id":"r3","outcome":"overloaded"})" +
                              "\n" + head + R"("name":"server-silent","server":"i-1"})" + "\nbroken r1 {\n");
    std::vector<LogLine> lines;
    readRelevantLines (input, "r1", lines);
    REQUIRE (lines.size() == 3);
    CHECK (fieldOf (lines[1], "request_id") == "r3");
}
